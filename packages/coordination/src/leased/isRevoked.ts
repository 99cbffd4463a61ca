import type { Revoke, TaskKey } from '@hazellift/protocol'

/** Start numbers begin anew after the highest one: of two of them the later one is less than half their range ahead. */
const isUpTo = (startNumber: number, lastStart: number): boolean => ((lastStart - startNumber) | 0) >= 0

/**
 * True if a request to end runs applies to a start of the same entry, whether that is
 * still to begin, also from the same frame, or runs already.
 */
export const isRevoked = ({ workspace, submission, tasks, lastStart }: Revoke, key: TaskKey): boolean =>
  key.submission === submission && key.workspace === workspace &&
  (tasks.length === 0 || tasks.includes(key.task)) &&
  (lastStart === 0 || isUpTo(key.attempt, lastStart))
