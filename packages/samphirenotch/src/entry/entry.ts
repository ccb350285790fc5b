/**
 * An entry process: everything between callers and workers, and its orderly start and stop.
 */
import { CallerServer } from '../http/callerServer.js';
import { DEFAULT_HTTP_LIMITS } from '../http/httpLimits.js';
import type { ResourceHandler } from '../membership/ownership.js';
import { HistogramRecorder } from '../observability/histogramRecorder.js';
import { partLog } from '../observability/log.js';
import { RequestsGrpcService } from '../requests/requestsGrpcService.js';
import type { EntrySettings } from '../settings/entrySettings.js';
import { GrpcShardService } from '../shards/grpcShardService.js';
import { TasksServer } from '../tasks/tasksServer.js';
import type { Clock } from '../time/clock.js';
import { GrpcListener } from './grpcListener.js';
import { httpHandlers } from './httpHandlers.js';
import { buildMembership, type MembershipParts } from './membershipParts.js';
import { connectPlatform, type PlatformParts } from './platformParts.js';
import { buildWork, type WorkParts } from './workParts.js';

/** Longest time for handing over ownership in a planned stop, in milliseconds. */
const HAND_OVER_TIMEOUT_MS = 10_000;

/**
 * Longest time that calls of peers are waited for in a planned stop, in milliseconds: the longest wait
 * that a caller may ask for.
 */
const PEER_DRAIN_TIMEOUT_MS = 3_600_000;

const log = partLog('entry');

const splitAddress = (address: string): { readonly host: string; readonly port: number } => {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
};

/** One entry process. */
export class Entry {
  private readonly running = new AbortController();

  private readonly platform: PlatformParts;

  private readonly membership: MembershipParts;

  private readonly work: WorkParts;

  private readonly peersServer: GrpcListener;

  private readonly callers: CallerServer;

  private loops: Promise<unknown> = Promise.resolve();

  /**
   * @param settings - who the entry is
   * @param clock - its clock
   * @param seed - seed of its random choices
   */
  constructor(
    private readonly settings: EntrySettings,
    private readonly clock: Clock,
    seed: number,
  ) {
    const handlers: ResourceHandler[] = [];
    const recorder = new HistogramRecorder(settings.dataCentre);
    this.platform = connectPlatform(settings, clock);
    const { platform } = this;
    const load = () => this.load();
    this.membership = buildMembership({ settings, clock, platform, handlers, load, seed });
    const { membership } = this;
    this.work = buildWork({ settings, clock, recorder, platform, membership, seed });
    const { work } = this;
    handlers.push(work.shardHandler, work.partitionHandler, work.keyPartitions);
    this.peersServer = this.buildPeersServer();
    this.callers = new CallerServer({
      handlers: httpHandlers({ settings, clock, recorder, platform, membership, work }),
      clock,
      limits: DEFAULT_HTTP_LIMITS,
      isReady: () => membership.configuration.follower.current() !== undefined,
      name: settings.id,
    });
  }

  /** Begins to serve. */
  async start(): Promise<void> {
    const { signal } = this.running;
    const { session, directory, heartbeats, configuration, ownership } = this.membership;
    await this.peersServer.listen(this.settings.grpcListen);
    const { host, port } = splitAddress(this.settings.httpAddress);
    await this.callers.listen(host, port);
    this.loops = Promise.all([
      session.run(signal),
      directory.run(signal),
      heartbeats.run(signal),
      configuration.follower.run(signal),
      this.work.workerList.run(signal),
      this.work.pressure.run(signal),
      ownership.run(signal),
    ]);
    log.info('Entry started.', { id: this.settings.id, dataCentre: this.settings.dataCentre });
  }

  /** Stops without cutting off what is in progress: hands over, finishes, ends. */
  async stop(): Promise<void> {
    log.info('Entry stops.', { id: this.settings.id });
    const { peers, ownership, session, channels } = this.membership;
    peers.leave();
    const handedOver = this.within(HAND_OVER_TIMEOUT_MS, (signal) => ownership.drain(signal));
    await Promise.all([this.callers.drain(), handedOver]);
    await this.within(PEER_DRAIN_TIMEOUT_MS, () => this.peersServer.drain());
    this.peersServer.close();
    await session.end();
    this.running.abort();
    await this.loops;
    channels.close();
    await Promise.all([this.platform.store.close(), this.platform.vmList.close()]);
    log.info('Entry stopped.', { id: this.settings.id });
  }

  private buildPeersServer(): GrpcListener {
    const { clock, settings, membership, work } = this;
    return new GrpcListener([
      membership.heartbeatService,
      membership.configuration.service,
      new GrpcShardService(work.localShards, clock),
      new RequestsGrpcService({
        target: work.requestRouter,
        keys: work.keyPartitions,
        clock,
        entry: settings.id,
      }),
      new TasksServer(work.taskRouter, work.partitionHandler, work.attemptSink, clock),
    ]);
  }

  private load() {
    const { slots, requestRouter } = this.work;
    const services = [...(this.membership.configuration.follower.current()?.services.keys() ?? [])];
    return {
      freeSlots: slots.freeSlots(),
      queuedRequests: requestRouter.queuedRequests,
      services: services.filter((service) => slots.serves(service)),
    };
  }

  private async within(
    timeoutMs: number,
    act: (signal: AbortSignal) => Promise<void>,
  ): Promise<void> {
    const timeout = new AbortController();
    const waited = this.clock.sleep(timeoutMs, timeout.signal).then(() => timeout.abort());
    await Promise.race([act(timeout.signal), waited]);
    timeout.abort();
  }
}
