import { create } from '@bufbuild/protobuf'
import { TASK_OUTCOMES, TaskResultSchema } from '@hazellift/protocol'
import type { TaskKey } from '@hazellift/protocol'
import { expect, test } from 'vitest'
import { TaskLedger } from './taskLedger.js'
import type { TaskRecord } from './taskLedger.js'

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

test.each([
  { name: 'all fit', sizes: [4, 4, 2], kept: [true, true, true] },
  { name: 'the oldest goes first', sizes: [4, 4, 4], kept: [false, true, true] },
  { name: 'one that is too large by itself is not kept', sizes: [2, 11], kept: [false, false] }
])('of answers in room for 10 characters: $name', ({ sizes, kept }) => {
  const ledger = new TaskLedger(MEMORY_MS, () => 0, 10)
  const entries = sizes.map((size, task) => {
    const entry: TaskRecord = { key: { ...KEY, task }, origin: 'a', recipient: 'a' }
    ledger.add(entry)
    ledger.finish(entry, create(TaskResultSchema, { outcome: TASK_OUTCOMES.done, body: 'x'.repeat(size) }))
    return entry
  })
  expect(entries.map(({ isAnswerDropped, result }) => isAnswerDropped !== true && result!.body !== '')).toEqual(kept)
  expect(entries.map(({ result }) => result!.outcome)).toEqual(sizes.map(() => TASK_OUTCOMES.done))
})
