/**
 * Listeners on signals that very many calls share.
 */
import test from 'ava';
import { offAbort, onAbort } from 'samphirenotch/time/abortListeners.js';

test('should call every listener once, but those that left', (t) => {
  const controller = new AbortController();
  const heard: string[] = [];
  const leaving = (): void => {
    heard.push('leaving');
  };
  onAbort(controller.signal, () => heard.push('one'));
  onAbort(controller.signal, leaving);
  onAbort(controller.signal, () => heard.push('two'));
  offAbort(controller.signal, leaving);
  controller.abort();
  controller.abort();
  t.deepEqual(heard, ['one', 'two']);
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
  const heard: string[] = [];
  const first = (): void => {
    heard.push('first');
    offAbort(controller.signal, first);
    onAbort(controller.signal, () => heard.push('late'));
  };
  onAbort(controller.signal, first);
  onAbort(controller.signal, () => heard.push('second'));
  controller.abort();
  t.deepEqual(heard, ['first', 'second']);
});
