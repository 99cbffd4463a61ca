import { createHash } from 'node:crypto'
import { describe, expect, it } from 'vitest'
import { ALL_ENTRIES, SUBSET_LIMITS, chooseSubset } from './subset.js'
import type { EntryLocation, SubsetLimits } from './subset.js'

/** Figures of these tests; what is chosen must hold for any. */
const LIMITS: SubsetLimits = { near: 3, far: 2 }

const scoreOf = (agent: string, address: string): number => createHash('sha1').update(`${agent}\n${address}`).digest().readUInt32BE()

const entriesOf = (count: number, zones: number): EntryLocation[] =>
  Array.from({ length: count }, (_, index) => ({ address: `e${index}`, zone: `z${index % zones}` }))

interface Choice {
  agent?: string
  zone?: string
  lost?: string[]
  limits?: SubsetLimits
}

const choose = (entries: EntryLocation[], { agent = 'a0', zone = 'z0', lost = [], limits = LIMITS }: Choice = {}): Set<string> =>
  chooseSubset(entries, { zone, score: (address) => scoreOf(agent, address), isUnreachable: (address) => lost.includes(address) }, limits)

const zonesOf = (part: Set<string>, entries: EntryLocation[]): string[] =>
  entries.filter(({ address }) => part.has(address)).map(({ zone }) => zone)

describe('the entries that an agent chooses', () => {
  const counts = [
    { name: 'a few entries: all of them', entries: 3, zones: 3, near: 1, far: 2 },
    { name: 'as many as the limits: all', entries: 5, zones: 4, near: 2, far: 3 },
    { name: 'seven of the own zone: three', entries: 35, zones: 5, near: 3, far: 2 },
    { name: 'one of the own zone: the others make up for it', entries: 30, zones: 30, near: 1, far: 4 },
    { name: 'none of other zones: the own zone makes up for it', entries: 12, zones: 1, near: 5, far: 0 }
  ]
  it.each(counts)('$name', ({ entries: count, zones, near, far }) => {
    const entries = entriesOf(count, zones)
    const chosen = zonesOf(choose(entries), entries)
    expect({ near: chosen.filter((zone) => zone === 'z0').length, far: chosen.filter((zone) => zone !== 'z0').length }).toEqual({ near, far })
  })

  it('without limits all are chosen', () => {
    expect(choose(entriesOf(100, 3), { limits: ALL_ENTRIES }).size).toBe(100)
  })

  it('one that is lost stays chosen and has a substitute; no other moves', () => {
    const entries = entriesOf(35, 5)
    const usual = choose(entries)
    const [lost] = usual
    const meanwhile = choose(entries, { lost: [lost!] })
    expect(meanwhile.size).toBe(usual.size + 1)
    for (const address of usual) expect(meanwhile).toContain(address)
  })

  it('with all entries lost, no more are dialled than the preferred ones', () => {
    const entries = entriesOf(35, 5)
    expect(choose(entries, { lost: entries.map(({ address }) => address) }).size).toBe(LIMITS.near + LIMITS.far)
  })

  it('when one goes for good, one other is chosen', () => {
    const entries = entriesOf(35, 5)
    const usual = choose(entries)
    const [gone] = usual
    const after = choose(entries.filter(({ address }) => address !== gone))
    expect([...after].filter((address) => !usual.has(address))).toHaveLength(1)
  })

  const fleets = [{ entries: 35, agents: 160, zones: 5 }, { entries: 12, agents: 67, zones: 4 }, { entries: 100, agents: 450, zones: 6 }]
  it.each(fleets)('$entries entries share $agents agents in $zones zones evenly enough', ({ entries: count, agents, zones }) => {
    const entries = entriesOf(count, zones)
    const held = new Map<string, number>()
    for (let agent = 0; agent < agents; agent++) {
      for (const address of choose(entries, { agent: `a${agent}`, zone: `z${agent % zones}` })) held.set(address, (held.get(address) ?? 0) + 1)
    }
    const mean = agents * (LIMITS.near + LIMITS.far) / count
    for (const { address } of entries) {
      expect(held.get(address) ?? 0).toBeGreaterThan(mean / 2)
      expect(held.get(address) ?? 0).toBeLessThan(mean * 1.6)
    }
  })

  const deployments = [
    { name: 'three entries in three zones: all', entries: 3, zones: 3, near: 1, far: 2 },
    { name: 'four in four: all', entries: 4, zones: 4, near: 1, far: 3 },
    { name: 'eleven in three', entries: 11, zones: 3, near: 2, far: 2 },
    { name: 'thirty-five in five', entries: 35, zones: 5, near: 2, far: 2 }
  ]
  it.each(deployments)('by the product\'s limits, of $name', ({ entries: count, zones, near, far }) => {
    const entries = entriesOf(count, zones)
    const found = zonesOf(choose(entries, { limits: SUBSET_LIMITS }), entries)
    expect({ near: found.filter((zone) => zone === 'z0').length, far: found.filter((zone) => zone !== 'z0').length }).toEqual({ near, far })
  })
})
