/**
 * Idempotency keys under random faults together: whatever happens, a key is granted to one run.
 */
import test from 'ava';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { KeyPartitions } from 'samphirenotch/requests/keyPartitions.js';
import { callWithin } from 'samphirenotch/time/call.js';
import { keyOwners } from '../fixtures/keyOwners.js';

const SEEDS = 40;
const STEPS = 60;
const KEYS = 30;
/** Long enough for segments to fill. */
const TOKEN_LENGTH = 1_500;
/** Each owner may have to notice that another has written. */
const RECOVERY_CLAIMS = 4;

const runSeed = async (seed: number) => {
  const random = xoroshiro128plus(seed);
  const draw = (below: number): number => uniformInt(random, 0, below - 1);
  const { clock, store, owner } = keyOwners();
  const owners: KeyPartitions[] = [await owner('owner-0')];
  const runs = new Map<string, Set<string>>();
  const most = new Map<string, number>();
  const deciding: Promise<void>[] = [];

  const ask = async (keys: KeyPartitions, key: string, token: string): Promise<void> => {
    const wish = { partition: 0, key, token, fingerprint: 'f' };
    const decided = await keys.claim(wish, callWithin(clock, 100 + draw(3_000)));
    if (!decided.ok || decided.val.kind !== 'granted') return;
    const running = runs.get(key) ?? new Set();
    runs.set(key, running.add(token));
    most.set(key, Math.max(most.get(key) ?? 0, running.size));
    if (draw(3) > 0) return;
    running.delete(token);
    keys.settle({ partition: 0, key, token, outcome: 'not-run' });
  };

  const faults = [
    () => {
      store.faults.loseAnswers += 1 + draw(3);
    },
    () => {
      store.faults.down = !store.faults.down;
    },
    () => {
      store.faults.delayMs = draw(2) * draw(1_500);
    },
    async () => {
      owners.push(await owner(`owner-${owners.length}`));
    },
  ];

  for (let step = 0; step < STEPS; step += 1) {
    const keys = owners[draw(owners.length)];
    if (keys) deciding.push(ask(keys, `k${draw(KEYS)}`, `t${step}`.padEnd(TOKEN_LENGTH, '-')));
    if (draw(4) === 0) await faults[draw(faults.length)]?.();
    await clock.advance(draw(400));
  }
  Object.assign(store.faults, { down: false, delayMs: 0, loseAnswers: 0 });
  await clock.advance(60_000);
  await Promise.all(deciding);
  let recovered = false;
  for (let tries = 0; tries < RECOVERY_CLAIMS && !recovered; tries += 1) {
    const wish = { partition: 0, key: 'after', token: `after-${tries}`, fingerprint: 'f' };
    const last = owners.at(-1)?.claim(wish, callWithin(clock, 5_000));
    await clock.advance(5_000);
    recovered = (await last)?.ok === true;
  }
  return { recovered, mostAtOnce: Math.max(0, ...most.values()) };
};

for (let seed = 1; seed <= SEEDS; seed += 1) {
  test(`should grant a key to one run at a time under faults, seed ${seed}`, async (t) => {
    const { mostAtOnce, recovered } = await runSeed(seed);
    t.true(mostAtOnce <= 1);
    t.true(recovered);
  });
}
