/**
 * Reads the object of each kind from its section. References are not followed here.
 */
import type { Size } from '../infrastructure/worker.js';
import type { ObjectKind } from './objectKind.js';
import type {
  DataCentre,
  Description,
  Limit,
  Outage,
  Quota,
  Service,
  TaskClass,
  Tenant,
} from './objects.js';
import type { SectionReader } from './sectionReader.js';
import {
  BYTE_SIZE,
  CORES,
  DURATION,
  listOf,
  MEMORY,
  OBJECT_NAME,
  oneOf,
  TEXT,
  wholeNumber,
  YES_NO,
} from './valueFormat.js';

/** The object type of each kind. */
export interface ObjectOfKind {
  readonly dataCentre: DataCentre;
  readonly service: Service;
  readonly taskClass: TaskClass;
  readonly tenant: Tenant;
  readonly limit: Limit;
  readonly quota: Quota;
  readonly outage: Outage;
}

/** Reads an object of one kind. */
export type ObjectRead<K extends ObjectKind> = (
  reader: SectionReader,
  name: string,
) => ObjectOfKind[K];

const NAMES = listOf(OBJECT_NAME);
const ACCELERATORS = wholeNumber(0, 1024);
const COUNT = wholeNumber(0, 10_000_000);
const POSITIVE_COUNT = wholeNumber(1, 10_000_000);
const DEFAULT_PARTITIONS = 4;
const DEFAULT_ATTEMPTS = 3;
const DEFAULT_WEIGHT = 1;

const readDescription = (reader: SectionReader, name: string): Description => ({
  name,
  owner: reader.required('owner', TEXT, ''),
  why: reader.required('why', TEXT, ''),
  runbook: reader.required('runbook', TEXT, ''),
});

const readSize = (reader: SectionReader): Size => ({
  milliCores: reader.required('cores', CORES, 0),
  memoryMb: reader.required('memory', MEMORY, 0),
  accelerators: reader.optional('accelerators', ACCELERATORS) ?? 0,
});

const readDataCentre: ObjectRead<'dataCentre'> = (reader, name) => ({
  ...readDescription(reader, name),
  region: reader.required('region', TEXT, ''),
  partitions: reader.optional('partitions', wholeNumber(1, 1024)) ?? DEFAULT_PARTITIONS,
});

const readService: ObjectRead<'service'> = (reader, name) => ({
  ...readDescription(reader, name),
  dataCentres: reader.required('dataCentres', NAMES, []),
  reservedSize: readSize(reader),
});

const readTaskClass: ObjectRead<'taskClass'> = (reader, name) => ({
  ...readDescription(reader, name),
  kind: reader.required('kind', oneOf(['request', 'batch', 'watcher']), 'request'),
  service: reader.required('service', OBJECT_NAME, ''),
  dataCentres: reader.required('dataCentres', NAMES, []),
  priority: reader.required('priority', wholeNumber(0, 1000), 0),
  idempotent: reader.required('idempotent', YES_NO, false),
  size: readSize(reader),
  deadlineMs: reader.required('deadline', DURATION, 0),
  onPartition: reader.optional('onPartition', oneOf(['keep', 'restart'])) ?? 'keep',
  maximumAttempts: reader.optional('maximumAttempts', wholeNumber(1, 100)) ?? DEFAULT_ATTEMPTS,
});

const readTenant: ObjectRead<'tenant'> = (reader, name) => ({
  ...readDescription(reader, name),
  weight: reader.optional('weight', wholeNumber(1, 1000)) ?? DEFAULT_WEIGHT,
  limit: reader.required('limit', OBJECT_NAME, ''),
  quota: reader.required('quota', OBJECT_NAME, ''),
});

/** All of a size or nothing of it. */
const readOptionalSize = (reader: SectionReader): Size | undefined => {
  const keys = ['cores', 'memory', 'accelerators'];
  if (keys.some((key) => reader.section.values.has(key))) return readSize(reader);
  reader.optional('cores', CORES);
  reader.optional('memory', MEMORY);
  reader.optional('accelerators', ACCELERATORS);
  return undefined;
};

const readLimit: ObjectRead<'limit'> = (reader, name) => ({
  ...readDescription(reader, name),
  requestsPerSecond: reader.required('requestsPerSecond', POSITIVE_COUNT, 1),
  queuedRequests: reader.required('queuedRequests', COUNT, 0),
  bodyBytes: reader.required('body', BYTE_SIZE, 0),
  within: reader.optional('within', OBJECT_NAME),
  runningTasks: reader.optional('runningTasks', COUNT),
  queuedTasks: reader.optional('queuedTasks', COUNT),
  total: readOptionalSize(reader),
});

const readQuota: ObjectRead<'quota'> = (reader, name) => ({
  ...readDescription(reader, name),
  runningTasks: reader.required('runningTasks', COUNT, 0),
  queuedTasks: reader.required('queuedTasks', COUNT, 0),
  total: readSize(reader),
  limit: reader.optional('limit', OBJECT_NAME) ?? '',
});

const readOutage: ObjectRead<'outage'> = (reader, name) => ({
  ...readDescription(reader, name),
  dataCentre: reader.required('dataCentre', OBJECT_NAME, ''),
});

/** How objects of each kind are read. */
export const OBJECT_READS: { readonly [K in ObjectKind]: ObjectRead<K> } = {
  dataCentre: readDataCentre,
  service: readService,
  taskClass: readTaskClass,
  tenant: readTenant,
  limit: readLimit,
  quota: readQuota,
  outage: readOutage,
};
