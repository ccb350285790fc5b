/**
 * The addresses of soaks that run beside each other.
 */
import test from 'ava';

import { ReservedNetwork } from './reservedNetwork.js';

// Guards against callers of a soak that reach the entries of another one, whose runs its checker never saw.
test('should give no address to two soaks', async (t) => {
  const first = await ReservedNetwork.reserve();
  const second = await ReservedNetwork.reserve();
  t.not(first.addressOf(0), second.addressOf(0));
  t.not(first.addressOf(0), first.addressOf(1));
  first.release();
  second.release();
});
