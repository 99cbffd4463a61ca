import { createLogger } from '@hazellift/common'
import type { Clock } from '@hazellift/common'
import type { ClaimStore } from '@hazellift/coordination'

/** What the sweep of old claims needs. */
export interface ClaimSweeperOptions {
  clock: Clock
  claims: Pick<ClaimStore, 'scan' | 'remove'>
  retentionMs: number
  intervalMs: number
}

const PAGE_SIZE = 200
const REMOVE_TIMEOUT_MS = 10_000

const log = createLogger('entry:sweeper')

/**
 * Removes claim rows whose time is over, a page at a time; every entry sweeps,
 * and a row that another one removed first is no harm.
 *
 * @param options - store, retention and pace
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
