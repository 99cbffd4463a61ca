import { expect, test } from 'vitest'
import type { TaskKey } from '@hazellift/protocol'
import { TaskLedger } from './taskLedger.js'

const MEMORY_MS = 1000
const KEY = { workspace: 'w', submission: 's', task: 0, attempt: 0 } as TaskKey

test.each([
  { name: 'a revoke is kept for the memory\'s length', keepMs: 0, afterMs: 900, isRevoked: true },
  { name: 'a revoke is forgotten after that', keepMs: 0, afterMs: 1100, isRevoked: false },
  { name: 'a takeover is kept for its claim\'s deadline', keepMs: 5000, afterMs: 4900, isRevoked: true },
  { name: 'a takeover is forgotten after that', keepMs: 5000, afterMs: 5100, isRevoked: false }
])('$name', ({ keepMs, afterMs, isRevoked }) => {
  let now = 0
  const ledger = new TaskLedger(MEMORY_MS, () => now)
  ledger.collect('w', 's', 'taker', keepMs)
  now = afterMs
  ledger.sweep()
  expect(ledger.isRevoked(KEY)).toBe(isRevoked)
  expect(ledger.collectorOf('w', 's')).toBe(isRevoked ? 'taker' : undefined)
})

test('a submission with a task that runs is never forgotten', () => {
  let now = 0
  const ledger = new TaskLedger(MEMORY_MS, () => now)
  ledger.add({ key: KEY, origin: 'a', recipient: 'a' })
  now = 1_000_000
  ledger.sweep()
  expect(ledger.find(KEY)).toBeDefined()
})
