import { createHash } from 'node:crypto'
import { describe, expect, it } from 'vitest'
import { ALL_ENTRIES, SUBSET_LIMITS, chooseSubset } from './subset.js'
import type { EntryLocation, SubsetLimits } from './subset.js'

/** Differ from the product's limits, as the rules must hold for any. */
const LIMITS: SubsetLimits = { near: 3, far: 2 }

const scoreOf = (agent: string, address: string): number => createHash('sha1').update(`${agent}\n${address}`).digest().readUInt32BE()

const entriesOf = (count: number, zones: number): EntryLocation[] =>
  Array.from({ length: count }, (_, index) => ({ address: `e${index}`, zone: `z${index % zones}` }))

interface Choice {
  agent?: string
  zone?: string
  unreachable?: string[]
  limits?: SubsetLimits
}

const choose = (entries: EntryLocation[], { agent = 'a0', zone = 'z0', unreachable = [], limits = LIMITS }: Choice = {}): Set<string> =>
  chooseSubset(entries, { zone, score: (address) => scoreOf(agent, address), isUnreachable: (address) => unreachable.includes(address) }, limits)

const zonesOf = (subset: Set<string>, entries: EntryLocation[]): string[] =>
  entries.filter(({ address }) => subset.has(address)).map(({ zone }) => zone)

describe('chooseSubset', () => {
  const counts = [
    { name: 'of few entries all are chosen', entries: 3, zones: 3, near: 1, far: 2 },
    { name: 'of as many entries as the limits allow all are chosen', entries: 5, zones: 4, near: 2, far: 3 },
    { name: 'of many entries as many as the limits allow are chosen', entries: 35, zones: 5, near: 3, far: 2 },
    { name: 'missing entries of the own zone are replaced by others', entries: 30, zones: 30, near: 1, far: 4 },
    { name: 'missing entries of other zones are replaced by the own zone\'s', entries: 12, zones: 1, near: 5, far: 0 }
  ]
  it.each(counts)('$name', ({ entries: count, zones, near, far }) => {
    const entries = entriesOf(count, zones)
    const chosen = zonesOf(choose(entries), entries)
    expect({ near: chosen.filter((zone) => zone === 'z0').length, far: chosen.filter((zone) => zone !== 'z0').length }).toEqual({ near, far })
  })

  it('without limits all entries are chosen', () => {
    expect(choose(entriesOf(100, 3), { limits: ALL_ENTRIES }).size).toBe(100)
  })

  it('an unreachable entry stays chosen and gets a substitute; the others stay, too', () => {
    const entries = entriesOf(35, 5)
    const usual = choose(entries)
    const [unreachable] = usual
    const meanwhile = choose(entries, { unreachable: [unreachable!] })
    expect(meanwhile.size).toBe(usual.size + 1)
    for (const address of usual) expect(meanwhile).toContain(address)
  })

  it('with all entries unreachable no substitutes are chosen', () => {
    const entries = entriesOf(35, 5)
    expect(choose(entries, { unreachable: entries.map(({ address }) => address) }).size).toBe(LIMITS.near + LIMITS.far)
  })

  it('when a chosen entry leaves, one other is chosen', () => {
    const entries = entriesOf(35, 5)
    const usual = choose(entries)
    const [gone] = usual
    const after = choose(entries.filter(({ address }) => address !== gone))
    expect([...after].filter((address) => !usual.has(address))).toHaveLength(1)
  })

  const fleets = [{ entries: 35, agents: 160, zones: 5 }, { entries: 12, agents: 67, zones: 4 }, { entries: 100, agents: 450, zones: 6 }]
  it.each(fleets)('$entries entries are chosen by $agents agents in $zones zones about equally often', ({ entries: count, agents, zones }) => {
    const entries = entriesOf(count, zones)
    const sessions = new Map<string, number>()
    for (let agent = 0; agent < agents; agent++) {
      for (const address of choose(entries, { agent: `a${agent}`, zone: `z${agent % zones}` })) sessions.set(address, (sessions.get(address) ?? 0) + 1)
    }
    const mean = agents * (LIMITS.near + LIMITS.far) / count
    for (const { address } of entries) {
      expect(sessions.get(address) ?? 0).toBeGreaterThan(mean / 2)
      expect(sessions.get(address) ?? 0).toBeLessThan(mean * 1.6)
    }
  })

  const deployments = [
    { name: 'three entries in three zones all are chosen', entries: 3, zones: 3, near: 1, far: 2 },
    { name: 'four entries in four zones all are chosen', entries: 4, zones: 4, near: 1, far: 3 },
    { name: 'eleven entries in three zones two of the own zone and two others are chosen', entries: 11, zones: 3, near: 2, far: 2 },
    { name: 'thirty-five entries in five zones two of the own zone and two others are chosen', entries: 35, zones: 5, near: 2, far: 2 }
  ]
  it.each(deployments)('by the product\'s limits, of $name', ({ entries: count, zones, near, far }) => {
    const entries = entriesOf(count, zones)
    const chosen = zonesOf(choose(entries, { limits: SUBSET_LIMITS }), entries)
    expect({ near: chosen.filter((zone) => zone === 'z0').length, far: chosen.filter((zone) => zone !== 'z0').length }).toEqual({ near, far })
  })
})
