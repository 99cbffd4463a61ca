/** A value, or the fault that explains why there is none. Each package defines its faults as tagged unions. */
export type Result<T, E> = { ok: true, value: T } | { ok: false, err: E }

/** Creates a successful result. */
export const ok = <T>(value: T): Result<T, never> => ({ ok: true, value })

/** Creates a failed result. */
export const fail = <E>(err: E): Result<never, E> => ({ ok: false, err })
