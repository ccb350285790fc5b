/**
 * The check that keeps the platform's names in its adapter.
 */
import test from 'ava';

import { checkNames, findPlatformNames } from '../../utils/checkNames.js';

test('should find a name of the platform and say where', (t) => {
  const text = ['const a = 1;', "send('/v1/run-', 'start');", 'body.Fence', 'Token'].join('\n');
  t.deepEqual(findPlatformNames('x.ts', text), []);
  const found = findPlatformNames('x.ts', `first\nconst body = { ${'Fence'}${'Token'}: 1 };`);
  t.deepEqual(found, ["x.ts:2 knows the platform's name FenceToken"]);
});

test('should find none outside of the adapter', (t) => {
  t.deepEqual(checkNames(), []);
});
