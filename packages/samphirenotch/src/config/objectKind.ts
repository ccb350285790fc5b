/**
 * The kinds of objects, as headings name them, and how an object is referred to.
 */

/** A kind of object. */
export type ObjectKind =
  'dataCentre' | 'service' | 'taskClass' | 'tenant' | 'limit' | 'quota' | 'outage';

/** All kinds, referred-to ones first. */
export const OBJECT_KINDS: readonly ObjectKind[] = [
  'dataCentre',
  'service',
  'taskClass',
  'limit',
  'quota',
  'tenant',
  'outage',
];

/** The heading of a section that holds an object. */
export interface ObjectHeading {
  readonly kind: ObjectKind;
  readonly name: string;
}

/**
 * Reads a heading.
 *
 * @param heading - the heading, for instance `tenant growers`
 * @returns kind and name, or nothing if the kind is unknown or the name is missing
 */
export const readHeading = (heading: string): ObjectHeading | undefined => {
  const [word, name, ...rest] = heading.split(' ');
  const kind = OBJECT_KINDS.find((each) => each === word);
  return kind === undefined || name === undefined || rest.length > 0 ? undefined : { kind, name };
};

/**
 * Writes a heading.
 *
 * @param heading - kind and name
 * @returns for instance `tenant growers`
 */
export const writeHeading = ({ kind, name }: ObjectHeading): string => `${kind} ${name}`;
