/**
 * Tests abort listeners on signals that are shared by many calls.
 */
import test from 'ava';
import { offAbort, onAbort } from 'samphirenotch/time/abortListeners.js';

test('should call every listener once, except removed ones', (t) => {
  const controller = new AbortController();
  const called: string[] = [];
  const removed = (): void => {
    called.push('removed');
  };
  onAbort(controller.signal, () => called.push('one'));
  onAbort(controller.signal, removed);
  onAbort(controller.signal, () => called.push('two'));
  offAbort(controller.signal, removed);
  controller.abort();
  controller.abort();
  t.deepEqual(called, ['one', 'two']);
});

test('should call no listener of a signal that has already aborted', (t) => {
  const controller = new AbortController();
  controller.abort();
  onAbort(controller.signal, () => t.fail());
  offAbort(controller.signal, () => undefined);
  t.pass();
});

test('should allow a listener to remove itself and add others while it is called', (t) => {
  const controller = new AbortController();
  const called: string[] = [];
  const first = (): void => {
    called.push('first');
    offAbort(controller.signal, first);
    onAbort(controller.signal, () => called.push('late'));
  };
  onAbort(controller.signal, first);
  onAbort(controller.signal, () => called.push('second'));
  controller.abort();
  t.deepEqual(called, ['first', 'second']);
});
