/**
 * Listeners on signals that very many calls share.
 */
import test from 'ava';
import { offAbort, onAbort } from 'samphirenotch/time/abortListeners.js';

test('should call every listener once, but those that left', (t) => {
  const controller = new AbortController();
  const called: string[] = [];
  const removed = (): void => {
    called.push('leaving');
  };
  onAbort(controller.signal, () => called.push('one'));
  onAbort(controller.signal, removed);
  onAbort(controller.signal, () => called.push('two'));
  offAbort(controller.signal, removed);
  controller.abort();
  controller.abort();
  t.deepEqual(called, ['one', 'two']);
});

test('should call no listener of a signal that is aborted already', (t) => {
  const controller = new AbortController();
  controller.abort();
  onAbort(controller.signal, () => t.fail());
  offAbort(controller.signal, () => undefined);
  t.pass();
});

test('should let a listener leave or add others while it is called', (t) => {
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
