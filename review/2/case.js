/**
 * A client cancels submissions whose hand-in was left in doubt while the store loses answers.
 */
import { fileURLToPath } from 'node:url';

import { BOUNDS, HAS_TROUBLE, runCase, Site, sleep, submissionId } from '../standins/site.js';

/** Just inside the largest dose of the site file: `platform_lost`, x = 0.35, for_s = 4.5, how = "late". */
const LOST_SHARE = 0.35;
const LOST_FOR_MS = 4_400;

/** Chance of a write to be lost while the share allows it. */
const DRAW = 0.5;

const LEAST_LATE_MS = 1_000;
const MOST_LATE_MS = 6_000;

const SUBMISSIONS = 180;

/** Every so many submissions, one that was accepted is cancelled as well. */
const CANCEL_EVERY = 20;

const STEPS = 12;
const WORK_MS = 1_200;

const site = new Site({ folder: fileURLToPath(new URL('.', import.meta.url)), workers: 6 });

/** When each submission's cancelling was acknowledged, and what had become of its hand-in. */
const cancelled = new Map();

let writes = 0;
let lost = 0;

let seed = Number(process.env.SEED ?? 1);

const fraction = () => {
  seed = (seed * 48_271) % 2_147_483_647;
  return seed / 2_147_483_647;
};

const content = {
  Spec: JSON.stringify({ workMs: Array.from({ length: STEPS }, () => WORK_MS) }),
  Steps: Array.from({ length: STEPS }, (_each, step) => ({
    Count: 1,
    Cpu: 100,
    MemMb: 128,
    EstimateMs: WORK_MS,
    ...(step > 0 ? { After: [step - 1] } : {}),
  })),
};

/** Hands a submission in once; cancels it if that was left in doubt, or now and then if accepted. */
const handIn = async (number) => {
  const id = submissionId(number);
  const at = (offset) => site.entries[(number + offset) % site.entries.length];
  const { status } = await site.call(at(0), 'POST', `/runs/${id}`, content);
  const isInDoubt = status === 0 || status === 502 || status === 504;
  if (!isInDoubt && number % CANCEL_EVERY !== 0) return;
  if (!isInDoubt) await sleep(300);
  const answer = await site.call(at(1), 'DELETE', `/runs/${id}`);
  if (answer.status === 200 || answer.status === 410) {
    cancelled.set(id, { ackMs: site.recorder.nowMs(), status: answer.status, handIn: status });
  }
};

await runCase(site, async ({ recorder }) => {
  await sleep(BOUNDS.ContactMs);
  const beginMs = recorder.nowMs();
  if (HAS_TROUBLE) {
    recorder.note('the store begins to lose answers');
    site.store.lateWriteMs = () => {
      writes += 1;
      // The share is a limit of the whole spell, not only a chance of each write.
      if (lost + 1 > LOST_SHARE * writes || fraction() >= DRAW) return undefined;
      lost += 1;
      return LEAST_LATE_MS + fraction() * (MOST_LATE_MS - LEAST_LATE_MS);
    };
  }
  const handedIn = [];
  for (let number = 0; number < SUBMISSIONS; number += 1) {
    handedIn.push(handIn(number));
    await sleep(
      Math.max(0, beginMs + ((number + 1) * LOST_FOR_MS) / SUBMISSIONS - recorder.nowMs()),
    );
  }
  await sleep(Math.max(0, beginMs + LOST_FOR_MS - recorder.nowMs()));
  site.store.lateWriteMs = () => undefined;
  recorder.note(`the store answers everything again; ${lost} of ${writes} writes were lost`);
  // Writes that were lost are done up to six seconds later.
  const calmMs = recorder.nowMs() + MOST_LATE_MS + BOUNDS.ContactMs;
  await Promise.all(handedIn);
  await sleep(STEPS * WORK_MS * 1.5);
  return [...recorder.runsByTask.values()].flat().flatMap(({ task, startMs, worker }) => {
    const cancelling = cancelled.get(task.split('.')[0]);
    if (!cancelling || startMs <= calmMs) return [];
    if (startMs <= cancelling.ackMs + BOUNDS.cancel_ms) return [];
    return [
      `UNASKED: ${task} was started on ${worker} at ${startMs} ms; its hand-in was answered ${cancelling.handIn || 'not at all'}, its cancelling ${cancelling.status} at ${cancelling.ackMs} ms`,
    ];
  });
});
