/** Reasons why a call to the platform failed. */
export type StoreFault =
  /** The call was refused or never sent; nothing took effect. */
  | { type: 'refused', message: string }
  /** The call may have taken effect: it timed out, was reset, or its acknowledgement was lost. */
  | { type: 'unknown', message: string }
  /** The platform rejected the call as invalid; a retry would be rejected too. */
  | { type: 'invalid', message: string }

/** True if the same call may succeed later. */
export const isTransient = (fault: StoreFault): boolean => fault.type !== 'invalid'
