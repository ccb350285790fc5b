/**
 * Owners whose takeover takes so long that their term is over when it ends.
 */
import test from 'ava';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import { keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';

import { JobSite, makeJob, makeStep } from '../fixtures/jobSite.js';
import { isOwner, runUntil } from '../fixtures/ownerIsland.js';
import { revokeLease } from '../fixtures/revokedLease.js';

const ID = '00000000000000a1';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };
const { ownerPrefix: OWNER_PREFIX } = keysOfShare(WHOLE_SITE_SHARE_ID);

// Guards against a task that runs twice: an owner does not hear of its successor because it does not
// listen yet, and starts a job that was accepted for its successor.
test('should not serve a term that was over before the end of the takeover', async (t) => {
  for (let delayMs = 0; delayMs < 800; delayMs += 50) {
    const site = new JobSite({ behave: () => ({ size: SIZE, durationMs: 8_000 }) });
    const first = site.start('z', false, 1, 'dc0');
    await site.run(1_500);
    const former = site.start('a', false, 1, 'dc1');
    await site.run(500);
    former.store.unlisted.add(OWNER_PREFIX);
    former.store.unansweredLeaseCalls.add('renewLease');
    first.stop();
    await runUntil(site, () => isOwner(site, former));
    await site.run(100);
    const successor = site.start('b', false, 1, 'dc0');
    site.cutFromWorkers(former.client, ['w0']);
    site.cutFromWorkers(successor.client, ['w1']);
    await site.run(200);
    revokeLease(site);
    await runUntil(site, () => isOwner(site, successor));
    await site.run(delayMs);
    former.store.unlisted.clear();
    site.putJobs([ID], makeJob(makeStep({ count: 4 })));
    await site.run(8_000);
    t.deepEqual(site.record.violations, [], `${delayMs} ms`);
  }
});
