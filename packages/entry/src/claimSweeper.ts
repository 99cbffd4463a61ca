import { createLogger } from '@hazellift/common'
import type { Clock } from '@hazellift/common'
import type { ClaimStore } from '@hazellift/coordination'

/** Dependencies and settings of the claim sweeper. */
export interface ClaimSweeperOptions {
  clock: Clock
  claims: Pick<ClaimStore, 'scan' | 'remove'>
  /** How long a claim row is stored after the deadline of its job, in ms. */
  retentionMs: number
  /** Pause after each page, in ms. */
  intervalMs: number
}

const PAGE_SIZE = 200
const REMOVE_TIMEOUT_MS = 10_000

const log = createLogger('entry:sweeper')

/**
 * Creates a function that reads one page of claim rows and removes those whose retention time has passed.
 * Every entry sweeps; a row that another entry removed first is tolerated.
 *
 * @param options - claim store, retention and interval
 * @returns sweeps the next page, beginning again after the last one, and then pauses for the interval
 */
export const createClaimSweeper = ({ clock, claims, retentionMs, intervalMs }: ClaimSweeperOptions) => {
  let after = ''
  return async (): Promise<void> => {
    const page = await claims.scan(after, PAGE_SIZE)
    if (!page.ok) return
    after = page.value.claims.length < PAGE_SIZE ? '' : page.value.last
    const cutoffMs = clock.wallNow() - retentionMs
    const expired = page.value.claims.filter(({ record }) => record.createdMs + record.deadlineMs < cutoffMs)
    const removed = await Promise.all(expired.map((claim) => claims.remove(claim, clock.now() + REMOVE_TIMEOUT_MS)))
    if (removed.length > 0) log('claims_expired', { removed: removed.filter(Boolean).length })
    await clock.sleep(intervalMs)
  }
}
