/**
 * What an entry serves over HTTP.
 */
import type { HttpHandler } from '../http/httpHandler.js';
import { ConfigurationGauges } from '../observability/configurationGauges.js';
import type { HistogramRecorder } from '../observability/histogramRecorder.js';
import { HistogramsHandler } from '../observability/histogramsHandler.js';
import { MetricsHandler } from '../observability/metricsHandler.js';
import { StatusHandler, type StatusSource } from '../observability/statusHandler.js';
import { ServiceHandler } from '../requests/serviceHandler.js';
import type { EntrySettings } from '../settings/entrySettings.js';
import { TaskHandler } from '../tasks/taskHandler.js';
import { TaskLister } from '../tasks/taskLister.js';
import { TaskSubmitter } from '../tasks/taskSubmitter.js';
import type { Clock } from '../time/clock.js';
import type { MembershipParts } from './membershipParts.js';
import type { PlatformParts } from './platformParts.js';
import type { WorkParts } from './workParts.js';

/** What the handlers need. */
export interface HandlerNeeds {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly recorder: HistogramRecorder;
  readonly platform: PlatformParts;
  readonly membership: MembershipParts;
  readonly work: WorkParts;
}

const statusSources = ({ membership, work, platform }: HandlerNeeds): readonly StatusSource[] => [
  {
    name: 'peers',
    status: () =>
      membership.peers.live().map(({ id, dataCentre, leaving, load }) => ({
        id,
        dataCentre,
        leaving,
        load,
      })),
  },
  {
    name: 'resources',
    status: () =>
      [work.shardHandler, work.partitionHandler, work.keyPartitions]
        .flatMap((handler) => handler.resources())
        .map((resource) => ({ resource, owner: membership.ownership.ownerOf(resource) ?? null })),
  },
  {
    name: 'workers',
    status: () =>
      work.workerList.shardNames().flatMap((shard) =>
        work.workerList.workersOf(shard).map(({ id, dataCentre, leaving }) => ({
          id,
          shard,
          dataCentre,
          leaving,
        })),
      ),
  },
  { name: 'storeCalls', status: () => platform.store.counts },
];

/**
 * Makes the handlers of an entry.
 *
 * @param needs - the parts of the entry
 * @returns the handlers
 */
export const httpHandlers = (needs: HandlerNeeds): readonly HttpHandler[] => {
  const { settings, clock, recorder, membership, work } = needs;
  const { taskContext, taskRouter, requestRouter } = work;
  const identity = { id: settings.id, dataCentre: settings.dataCentre };
  return [
    new ServiceHandler({
      target: requestRouter,
      configuration: membership.configuration.follower,
      clock,
      recorder,
    }),
    new TaskHandler(
      taskContext,
      taskRouter,
      new TaskSubmitter(taskContext, taskRouter),
      new TaskLister(taskContext, taskRouter),
    ),
    membership.configuration.handler,
    new StatusHandler(identity, membership.configuration.follower, statusSources(needs)),
    new MetricsHandler(recorder, [new ConfigurationGauges(membership.configuration.follower)]),
    new HistogramsHandler(recorder),
  ];
};
