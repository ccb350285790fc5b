/**
 * Messages from owners of other shares, as keys in the store: delegations, recalls and reports.
 */
import type { KeyValue } from '../../infrastructure/keyValueStore.js';
import { partLog } from '../../observability/log.js';

import {
  decodeDelegation,
  decodeReport,
  type Delegation,
  type DelegationReport,
} from '../model/delegation.js';
import { keysOfShare, type ShareKeys } from '../store/jobKeys.js';
import { applyItem, type StoreListener } from '../store/storeFollower.js';
import type { OutgoingDelegations } from './outgoingDelegations.js';
import type { IncomingDelegations } from './incomingDelegations.js';

const byRevision = (one: KeyValue, other: KeyValue): number => one.revision - other.revision;

/** Follows the inbox of a share during one term and passes each message on. */
export class Inbox implements StoreListener {
  /** Resolves once the messages of the first listing have been handled. */
  readonly listed: Promise<void>;

  private readonly log = partLog('inbox');

  private resolveListed!: () => void;

  private delegationKeys = new Set<string>();

  /**
   * @param keys - keys of the share
   * @param fencingToken - fencing token of the term
   * @param incoming - receives delegations and recalls
   * @param outgoing - receives reports
   * @param initialExchange - delegations and reports of all shares when the term began, as stored
   *   text by key; read before the inbox is listed, since a report is removed after its delegation
   * @param onNews - called after each message
   */
  constructor(
    private readonly keys: ShareKeys,
    private readonly fencingToken: number,
    private readonly incoming: IncomingDelegations,
    private readonly outgoing: OutgoingDelegations,
    private readonly initialExchange: ReadonlyMap<string, string>,
    private readonly onNews: () => void,
  ) {
    this.listed = new Promise((resolve) => {
      this.resolveListed = resolve;
    });
  }

  onListing(items: readonly KeyValue[]): void {
    const present = new Set(items.map(({ key }) => key));
    [...this.delegationKeys]
      .filter((key) => !present.has(key))
      .forEach((key) => this.onChange(key, undefined, 0));
    [...items]
      .sort(byRevision)
      .forEach(({ key, value, revision }) =>
        applyItem(key, () => this.onChange(key, value, revision)),
      );
    this.resolveListed();
  }

  onChange(key: string, value: string | undefined, revision: number): void {
    const { receivedDelegationsPrefix: delegatedPrefix, receivedReportsPrefix: reportedPrefix } =
      this.keys;
    if (key.startsWith(delegatedPrefix)) {
      if (value === undefined) this.recall(key);
      else this.acceptDelegation(key, value, revision);
    }
    if (key.startsWith(reportedPrefix) && value !== undefined) this.applyReport(key, value);
    this.onNews();
  }

  onCaughtUp(): void {}

  private acceptDelegation(key: string, value: string, revision: number): void {
    if (this.delegationKeys.has(key)) return;
    this.delegationKeys.add(key);
    try {
      const delegation = decodeDelegation(value);
      const { toToken = this.fencingToken } = delegation;
      if (toToken > this.fencingToken) {
        this.log.warn('A delegation belongs to a successor', { key, toToken });
        return;
      }
      const { receivedReportsPrefix: reportedPrefix } = keysOfShare(delegation.home);
      const id = key.slice(this.keys.receivedDelegationsPrefix.length);
      const previousReport = this.initialExchange.get(reportedPrefix + id);
      this.incoming.accept(
        delegation,
        this.mayHaveFormerRuns(key, delegation) ? 0 : revision,
        previousReport === undefined ? undefined : decodeReport(previousReport),
      );
    } catch (error) {
      this.log.error('A delegation cannot be read', { key, reason: String(error) });
    }
  }

  /** Tells whether a former owner may have started tasks of a delegation. */
  private mayHaveFormerRuns(key: string, { toToken }: Delegation): boolean {
    const isOfFormerOwner = toToken !== undefined && toToken < this.fencingToken;
    // A successor at the home may have written it again, so its revision may hide its age.
    return isOfFormerOwner || this.initialExchange.has(key);
  }

  private recall(key: string): void {
    this.delegationKeys.delete(key);
    const [jobId = '', name = ''] = key
      .slice(this.keys.receivedDelegationsPrefix.length)
      .split('/');
    this.incoming.recall(jobId, name);
  }

  private applyReport(key: string, value: string): void {
    const [jobId = '', name = ''] = key.slice(this.keys.receivedReportsPrefix.length).split('/');
    let report: DelegationReport;
    try {
      report = decodeReport(value);
    } catch (error) {
      this.log.error('A report cannot be read', { key, reason: String(error) });
      return;
    }
    this.outgoing.onReport(jobId, name, report);
  }
}
