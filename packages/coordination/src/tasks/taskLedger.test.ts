import { create } from '@bufbuild/protobuf'
import { TASK_OUTCOMES, TaskResultSchema } from '@hazellift/protocol'
import type { TaskKey } from '@hazellift/protocol'
import { expect, test } from 'vitest'
import { TaskLedger } from './taskLedger.js'
import type { TaskRecord } from './taskLedger.js'

const MEMORY_MS = 1000
const KEY = { workspace: 'w', submission: 's', task: 0, attempt: 0 } as TaskKey

// Guards against a start that runs after its revoke or takeover, because the ledger forgot that too early.
test.each([
  { name: 'a revoke is remembered for the memory time', keepMs: 0, afterMs: 900, isRevoked: true },
  { name: 'a revoke is forgotten after the memory time', keepMs: 0, afterMs: 1100, isRevoked: false },
  { name: 'a takeover is remembered until the deadline of its claim', keepMs: 5000, afterMs: 4900, isRevoked: true },
  { name: 'a takeover is forgotten after the deadline of its claim', keepMs: 5000, afterMs: 5100, isRevoked: false }
])('$name', ({ keepMs, afterMs, isRevoked }) => {
  let now = 0
  const ledger = new TaskLedger(MEMORY_MS, () => now)
  ledger.collect('w', 's', 'taker', keepMs)
  now = afterMs
  ledger.sweep()
  expect(ledger.isRevoked(KEY)).toBe(isRevoked)
  expect(ledger.collectorOf('w', 's')).toBe(isRevoked ? 'taker' : undefined)
})

test('a submission with a running task is never forgotten', () => {
  let now = 0
  const ledger = new TaskLedger(MEMORY_MS, () => now)
  ledger.add({ key: KEY, origin: 'a', recipient: 'a' })
  now = 1_000_000
  ledger.sweep()
  expect(ledger.find(KEY)).toBeDefined()
})

test.each([
  { name: 'all are remembered if they fit', sizes: [4, 4, 2], remembered: [true, true, true] },
  { name: 'the oldest is dropped first', sizes: [4, 4, 4], remembered: [false, true, true] },
  { name: 'one that exceeds the limit by itself is dropped, and all before it', sizes: [2, 11], remembered: [false, false] }
])('of answers with a limit of 10 characters, $name', ({ sizes, remembered }) => {
  const ledger = new TaskLedger(MEMORY_MS, () => 0, 10)
  const records = sizes.map((size, task) => {
    const record: TaskRecord = { key: { ...KEY, task }, origin: 'a', recipient: 'a' }
    ledger.add(record)
    ledger.finish(record, create(TaskResultSchema, { outcome: TASK_OUTCOMES.done, body: 'x'.repeat(size) }))
    return record
  })
  expect(records.map(({ isAnswerDropped, result }) => isAnswerDropped !== true && result!.body !== '')).toEqual(remembered)
  expect(records.map(({ result }) => result!.outcome)).toEqual(sizes.map(() => TASK_OUTCOMES.done))
})
