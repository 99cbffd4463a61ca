/** A value or the fault that stands in its place; faults are tagged unions of each layer. */
export type Result<T, E> = { ok: true, value: T } | { ok: false, err: E }

/** Wraps a value. */
export const ok = <T>(value: T): Result<T, never> => ({ ok: true, value })

/** Wraps a fault. */
export const fail = <E>(err: E): Result<never, E> => ({ ok: false, err })
