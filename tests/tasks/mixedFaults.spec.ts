/**
 * Seeded random schedules of faults with tasks of several classes: owners die or freeze, answers
 * are lost, the store is down, data centres are cut off or taken out, workers are silent, callers
 * cancel.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import test from 'ava';
import { PARTITION, taskWorld, withOutage, type TaskEntry } from '../fixtures/taskWorld.js';

const SEEDS = Array.from(
  { length: Number(process.env.TASK_FAULT_SEEDS ?? 12) },
  (_, index) => index + 1,
);
const ROUNDS = 30;
const CLASSES = ['plan', 'settlement', 'watch', 'plan'];
const DATA_CENTRES = ['timaru', 'temuka'];
/** An attempt that ended less than this before its worker fell silent may be unreported. */
const REPORT_DELAY_MS = 500;
const ENDED = ['completed', 'failed', 'cancelled', 'held'];

interface Silence {
  readonly workerId: string;
  readonly fromMs: number;
  readonly toMs: number;
}

const runSchedule = async (seed: number) => {
  const generator = xoroshiro128plus(seed);
  const draw = (end: number): number => uniformInt(generator, 0, end - 1);
  const pick = <T>(items: readonly T[]): T => items[draw(items.length)] as T;
  const world = taskWorld(seed);
  const normal = world.current();
  const accepted = new Set<string>();
  const cancelled = new Set<string>();
  const outWindows: { dataCentre: string; acceptedAtMs: number; endedAtMs: number }[] = [];
  const silences: Silence[] = [];
  let epoch = 1;
  let owner: TaskEntry = world.entry('e1');
  await owner.takePartition(epoch);
  await world.advance(200);

  const replaceOwner = async (): Promise<void> => {
    epoch += 1;
    owner = world.entry(`e${epoch}`);
    await owner.takePartition(epoch);
  };
  const submit = (id: string): void => {
    const payload = JSON.stringify({ runMs: 500 + draw(6_000) });
    owner
      .submit(id, { taskClass: pick(CLASSES), payload })
      .then((result) => result.ok && accepted.add(id))
      .catch(() => undefined);
  };
  const cancel = (id: string): void => {
    owner
      .cancel(id)
      .then((result) => result.ok && result.val.state === 'cancelled' && cancelled.add(id))
      .catch(() => undefined);
  };
  const endOutage = (): void => {
    world.configure(normal);
    outWindows.forEach((window) => {
      if (window.endedAtMs === Infinity) Object.assign(window, { endedAtMs: world.clock.wallMs() });
    });
  };
  const faults: readonly (() => Promise<void> | void)[] = [
    () => owner.kill(),
    async () => {
      const frozen = owner;
      frozen.freeze();
      await world.advance(500 + draw(2_000));
      await replaceOwner();
      await world.advance(draw(3_000));
      frozen.thaw();
    },
    () => {
      world.store.faults.loseAnswers = 1 + draw(3);
    },
    async () => {
      world.store.faults.down = true;
      await world.advance(1_000 + draw(9_000));
      world.store.faults.down = false;
    },
    async () => {
      world.shards.faults.chooseLoss = () =>
        pick(['request', 'answer', undefined, undefined] as const);
      await world.advance(1_000 + draw(3_000));
      world.shards.faults.chooseLoss = () => undefined;
    },
    async () => {
      world.shards.faults.unreachableDataCentres.add(pick(DATA_CENTRES));
      await world.advance(1_000 + draw(8_000));
      world.shards.faults.unreachableDataCentres.clear();
    },
    async () => {
      const worker = pick([...world.workers.values()]);
      const fromMs = world.clock.wallMs() - REPORT_DELAY_MS;
      worker.faults.silent = true;
      await world.advance(2_000 + draw(25_000));
      worker.faults.silent = false;
      silences.push({ workerId: worker.id, fromMs, toMs: world.clock.wallMs() });
    },
    () => {
      endOutage();
      const dataCentre = pick(DATA_CENTRES);
      outWindows.push({ dataCentre, acceptedAtMs: world.clock.wallMs(), endedAtMs: Infinity });
      world.configure(withOutage(normal, dataCentre));
    },
    endOutage,
    () => [...accepted].slice(-3).forEach(cancel),
  ];

  for (let round = 0; round < ROUNDS; round += 1) {
    if (owner.isDead()) await replaceOwner();
    await world.advance(100 + draw(400));
    submit(`timaru~0~r${round}a`);
    submit(`timaru~0~r${round}b`);
    await world.advance(draw(800));
    await pick(faults)();
  }
  endOutage();
  if (owner.isDead()) await replaceOwner();
  const open = (): readonly string[] =>
    [...accepted].filter((id) => !ENDED.includes(owner.show(id)?.state ?? ''));
  await world.waitUntil(() => owner.handler.find(PARTITION)?.jobs() !== undefined);
  await world.waitUntil(() => open().length === 0);
  /**
   * Allowed repetition: an idempotent task that completed on a silent worker, whose report did not
   * arrive before the lease expired, is run again.
   */
  const isUnreported = (jobId: string): boolean =>
    world.history.events.some(
      (event) =>
        event.jobId === jobId &&
        event.phase === 'completed' &&
        event.taskClass !== 'settlement' &&
        silences.some(
          ({ workerId, fromMs, toMs }) =>
            workerId === event.workerId && event.atMs >= fromMs && event.atMs <= toMs,
        ),
    );
  const broken = world
    .violations(outWindows)
    .filter(({ rule, detail }) => rule !== 'resumed-twice' || !isUnreported(detail));
  return { world, owner, accepted, cancelled, broken };
};

// Guards against combinations of faults that the tests of single faults do not cover. They could
// make a task run in two places, lose a cancellation, or start a non-idempotent task from scratch
// twice.
for (const seed of SEEDS) {
  test(`should keep every accepted task in one place under mixed faults, seed ${seed}`, async (t) => {
    const { world, owner, accepted, cancelled, broken } = await runSchedule(seed);
    t.deepEqual(broken, []);
    t.true(accepted.size > ROUNDS / 2);
    t.deepEqual(
      [...cancelled].filter((id) => owner.show(id)?.state !== 'cancelled'),
      [],
    );
    const settlements = world.history.events.filter(({ taskClass }) => taskClass === 'settlement');
    const repeats = settlements.filter(
      ({ kind, checkpoint, jobId, atMs }) =>
        kind === 'attempt-started' &&
        checkpoint === undefined &&
        settlements.some(
          (other) => other.kind === 'attempt-started' && other.jobId === jobId && other.atMs < atMs,
        ),
    );
    t.deepEqual(repeats, []);
  });
}
