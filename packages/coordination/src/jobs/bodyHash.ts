import { createHash } from 'node:crypto'
import type { JobSpec } from '@hazellift/protocol'

/**
 * Hashes the fields by which two submissions under one id count as the same.
 * The deadline is left out because a resubmission has less time remaining, and
 * so is the flag that tells a resubmission from a first attempt.
 *
 * @param spec - the submission
 * @returns SHA-256
 */
export const bodyHash = ({ service, tasks, unrepeatable, labels }: JobSpec): Uint8Array => {
  const sortedLabels = Object.entries(labels).sort(([a], [b]) => a < b ? -1 : 1)
  const hashedFields = [service, unrepeatable, sortedLabels, tasks.map(({ payload }) => payload)]
  return createHash('sha256').update(JSON.stringify(hashedFields)).digest()
}

/** True if two hashes of `bodyHash` are equal. */
export const isSameBody = (a: Uint8Array, b: Uint8Array): boolean => Buffer.compare(a, b) === 0
