/**
 * Seeds of soaks that once broke a promise, with the cause.
 */
export const REGRESSION_SEEDS: readonly { readonly seed: number; readonly cause: string }[] = [
  {
    seed: 3,
    cause:
      'A worker started again under its id; a hold still named the number of an end of its former ' +
      'life, so the end of a run in its new life was dropped unseen and the task ran twice.',
  },
];
