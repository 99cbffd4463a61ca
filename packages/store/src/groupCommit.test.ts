import { fail, ok, systemClock } from '@hazellift/common'
import { describe, expect, test } from 'vitest'
import { GroupCommit } from './groupCommit.js'
import type { TableRow, TableService, TableWrite } from './types.js'

type Step = 'apply' | 'refuse' | 'loseAck' | 'hang'

const bytes = (text: string) => Buffer.from(text)

/** A table in memory whose transactions follow a script, then apply. */
const createScriptedTable = (steps: Step[], initial: Record<string, string> = {}) => {
  let version = 1n
  const rows = new Map<string, TableRow>(
    Object.entries(initial).map(([key, value]) => [key, { key, version, value: bytes(value) }]))
  const batchSizes: number[] = []
  const apply = (writes: TableWrite[]) => {
    const current = writes.map(({ key }) => rows.get(key) ?? { key, version: 0n, value: bytes('') })
    const conflicts = current.filter((row, i) => row.version !== writes[i]!.ifVersion)
    if (conflicts.length > 0) return ok({ type: 'conflict' as const, rows: conflicts })
    version++
    for (const { key, value } of writes) {
      if (value === undefined) rows.delete(key)
      else rows.set(key, { key, version, value })
    }
    return ok({ type: 'committed' as const, version })
  }
  const table: TableService = {
    read: async () => ok([]),
    scan: async () => ok([]),
    transact: async (writes) => {
      batchSizes.push(writes.length)
      const step = steps.shift() ?? 'apply'
      if (step === 'refuse') return fail({ type: 'refused', message: 'down' })
      if (step === 'hang') return fail({ type: 'unknown', message: 'timeout' })
      const res = apply(writes)
      return step === 'loseAck' ? fail({ type: 'unknown', message: 'lost' }) : res
    }
  }
  return { table, rows, sizes: batchSizes }
}

const setUp = (steps: Step[], initial?: Record<string, string>) => {
  const fake = createScriptedTable(steps, initial)
  const group = new GroupCommit({ table: fake.table, clock: systemClock, intervalMs: 0, maxRows: 3, backoff: () => 1 })
  return { ...fake, group }
}

describe('GroupCommit', () => {
  const cases: { name: string, steps: Step[], initial?: Record<string, string>, expected: string }[] = [
    { name: 'commits', steps: [], expected: 'committed' },
    { name: 'tries again after a refusal', steps: ['refuse', 'refuse'], expected: 'committed' },
    { name: 'finds its own write behind a lost acknowledgement', steps: ['loseAck'], expected: 'committed' },
    { name: 'finds its own write behind two faults', steps: ['loseAck', 'hang', 'refuse'], expected: 'committed' },
    { name: 'reports a rival', steps: [], initial: { a: 'rival' }, expected: 'conflict' },
    { name: 'reports a rival after a timeout', steps: ['hang'], initial: { a: 'rival' }, expected: 'conflict' }
  ]
  test.each(cases)('$name', async ({ steps, initial, expected }) => {
    const { group, sizes } = setUp(steps, initial)
    const outcome = await group.commit({ key: 'a', ifVersion: 0n, value: bytes('mine') }, systemClock.now() + 10_000)
    expect(outcome.type).toBe(expected)
    expect(sizes.length).toBeGreaterThan(0)
  })

  test.each([
    { steps: Array<Step>(500).fill('refuse'), certain: true },
    { steps: Array<Step>(500).fill('hang'), certain: false },
    { steps: ['hang', ...Array<Step>(500).fill('refuse')] as Step[], certain: false }
  ])('an expired write is certain ($certain) only if no sending is in doubt', async ({ steps, certain }) => {
    const { group } = setUp(steps)
    const outcome = await group.commit({ key: 'a', ifVersion: 0n, value: bytes('mine') }, systemClock.now() + 20)
    expect(outcome).toMatchObject({ type: 'expired', certain })
    expect(group.isUp).toBe(false)
  })

  test('carries waiting writes together, and a rival stops only its own key', async () => {
    const { group, sizes, rows } = setUp([], { b: 'rival' })
    const outcomes = await Promise.all(['a', 'b', 'c', 'd'].map((key) =>
      group.commit({ key, ifVersion: 0n, value: bytes(`mine ${key}`) }, systemClock.now() + 10_000)))
    expect(outcomes.map(({ type }) => type)).toEqual(['committed', 'conflict', 'committed', 'committed'])
    expect(Math.max(...sizes)).toBe(3)
    expect([...rows.keys()].sort()).toEqual(['a', 'b', 'c', 'd'])
  })

  test('a removal whose acknowledgement was lost counts as committed', async () => {
    const { group } = setUp(['loseAck'], { a: 'old' })
    const outcome = await group.commit({ key: 'a', ifVersion: 1n, value: undefined }, systemClock.now() + 10_000)
    expect(outcome.type).toBe('committed')
  })
})
