/**
 * Result values: the way a function says that it may fail without throwing.
 *
 * The package behind them is CommonJS, so its values are taken from the default export here, once.
 *
 * @packageDocumentation
 */

import results from 'ts-results';

import type {
  Err as ErrType,
  None as NoneType,
  Ok as OkType,
  Option,
  Result,
  Some as SomeType,
} from 'ts-results';

export const { Err, None, Ok, Some } = results;

export type Err<E> = ErrType<E>;
export type None = NoneType;
export type Ok<T> = OkType<T>;
export type Some<T> = SomeType<T>;
export type { Option, Result };
