import { createHash } from 'node:crypto'
import type { JobSpec } from '@hazellift/protocol'

/**
 * Hash of what makes two submissions of one id the same. The deadline is left
 * out, as a resubmission has less time left, and so is whether it is one.
 *
 * @param spec - the submission
 * @returns SHA-256
 */
export const bodyHash = ({ service, tasks, unrepeatable, labels }: JobSpec): Uint8Array => {
  const sortedLabels = Object.entries(labels).sort(([a], [b]) => a < b ? -1 : 1)
  const hashedFields = [service, unrepeatable, sortedLabels, tasks.map(({ payload }) => payload)]
  return createHash('sha256').update(JSON.stringify(hashedFields)).digest()
}

/** True if both hashes are of the same body. */
export const isSameBody = (a: Uint8Array, b: Uint8Array): boolean => Buffer.compare(a, b) === 0
