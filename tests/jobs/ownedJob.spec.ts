/**
 * In-memory state of a job at its owner.
 */
import test from 'ava';

import { makeJob, makeStep } from '../fixtures/jobSite.js';
import { makeOwnedJob } from '../fixtures/ownedJobs.js';

// Guards against slow intake of delegations: building all tasks of a large job for each delegated
// task.
test('should hold only the delegated tasks of a job of another share', (t) => {
  const job = {
    ...makeJob(makeStep({ count: 500 }), makeStep({ count: 4, after: [0] })),
    repeatCount: 50,
  };
  const guest = makeOwnedJob(job, {
    id: 'j',
    delegation: {
      jobId: 'j',
      name: '1-1',
      home: 'dc0',
      to: 'dc1',
      toToken: 1,
      occurrence: 7,
      step: 1,
      tasks: [
        {
          index: 2,
          nextRun: 3,
          failedRuns: [],
          crashedRuns: [5],
          checkpoint: 'c',
          hasRun: false,
          interruptedAtMs: undefined,
        },
      ],
    },
  });
  const [first, second] = guest.occurrences.get(7)?.steps ?? [];
  t.deepEqual([...guest.occurrences.keys()], [7]);
  t.is(first?.tasks.length, 0);
  t.deepEqual(
    second?.tasks.map(({ index, isElsewhere: away }) => [index, away]),
    [[2, false]],
  );
  t.like(guest.findTask('j.7.1.2'), { nextRun: 3, checkpoint: 'c' });
  t.is(guest.findTask('j.7.0.2'), undefined);
  t.is(guest.findTask('j.7.1.1'), undefined);
  t.is(guest.findTask('j.7.1.3'), undefined);
});
