import { seededRandom } from '@hazellift/common'
import { REASONS } from '@hazellift/protocol'
import { describe, expect, it } from 'vitest'
import { CAPACITY, overlappingRuns } from './fakeEndpoint.js'
import type { FakeEndpoint } from './fakeEndpoint.js'
import { LeasedNetwork, LEASE_TIMES } from './leasedNetwork.js'

// An operator evacuates an availability zone, and its endpoints must get no more starts.
// If entries or agents do not learn of it, the zone's endpoints keep getting starts
// (in one failure every third one) until the evacuation is withdrawn.

/** Time in which all sessions open. */
const JOIN_MS = 400
/** Time from an entry's reading of an evacuation until every agent knows of it, without faults. */
const AGENTS_KNOW_MS = 20
/** The same until entries that do not read the store know of it, through an agent: a keep-alive each way. */
const ENTRIES_KNOW_MS = 400

/** Agents 0 and 1 are in the zone "a", 2 and 3 in "b". */
const zoneOf = (agent: number): string => agent < 2 ? 'a' : 'b'

const startNetwork = async (entries: number, isJoined = true): Promise<LeasedNetwork> => {
  const network = new LeasedNetwork(entries, 4, LEASE_TIMES, CAPACITY, zoneOf)
  if (isJoined) await network.advance(JOIN_MS)
  return network
}

/** Has an entry adopt a list of evacuated zones, as if it had read it from the store. */
const evacuate = (network: LeasedNetwork, entry: number, version: bigint, zones: string[]): void =>
  network.entries[entry]!.dispatcher.sessions.setEvacuations({ version, zones })

const countStartsAt = ({ endedRuns, openRuns }: FakeEndpoint, since = 0): number => [...endedRuns, ...openRuns].filter(({ startedAt }) => startedAt >= since).length

/** Number of starts in the zone "a" and elsewhere since a point in time. */
const countStarts = ({ endpoints }: LeasedNetwork, since: number) => ({
  inside: countStartsAt(endpoints[0]!, since) + countStartsAt(endpoints[1]!, since),
  outside: countStartsAt(endpoints[2]!, since) + countStartsAt(endpoints[3]!, since)
})

const submitMany = async (network: LeasedNetwork, prefix: string, jobs: number, entryOf: (job: number) => number): Promise<void> => {
  for (let job = 0; job < jobs; job++) {
    network.submit(entryOf(job), `${prefix}${job}`, 2)
    await network.advance(25)
  }
}

const countCompleted = (network: LeasedNetwork, prefix: string): number =>
  [...network.jobEnds].filter(([id, { type }]) => id.startsWith(prefix) && type === 'complete').length

describe('the endpoints of an evacuated zone', () => {
  it('get no start from any entry, while their running tasks complete', async () => {
    const network = await startNetwork(2)
    for (const endpoint of network.endpoints) endpoint.runMs = 700
    for (let job = 0; job < 4; job++) network.submit(job % 2, `before${job}`, 2, { kind: 'long', estimateMs: 700 })
    await network.advance(100)
    expect(countStarts(network, 0).inside).toBeGreaterThan(0)
    evacuate(network, 0, 5n, ['a'])
    await network.advance(ENTRIES_KNOW_MS)
    for (const endpoint of network.endpoints) endpoint.runMs = 100
    const since = network.clock.now()
    await submitMany(network, 'after', 20, (job) => job % 2)
    await network.advance(3000)
    expect(countStarts(network, since)).toEqual({ inside: 0, outside: 40 })
    expect([countCompleted(network, 'before'), countCompleted(network, 'after')]).toEqual([4, 20])
    expect(network.endedStartCounts.get(REASONS.leaseExpired)).toBeUndefined()
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  it('get no start once their agents know, though an entry that does not know still sends starts', async () => {
    const network = await startNetwork(2)
    // Entry 1 does not read the store, and has a link to one agent of the zone only.
    for (const agent of [1, 2, 3]) network.cut(agent, 1, true)
    evacuate(network, 0, 5n, ['a'])
    await network.advance(AGENTS_KNOW_MS)
    const since = network.clock.now()
    await submitMany(network, 'late', 10, () => 1)
    await network.advance(500)
    expect(countStarts(network, since).inside).toBe(0)
    for (const agent of [1, 2, 3]) network.cut(agent, 1, false)
    await network.advance(4000)
    expect(countStarts(network, since)).toEqual({ inside: 0, outside: 20 })
    expect(countCompleted(network, 'late')).toBe(10)
  })

  it('return starts that wait there for capacity, and those tasks run elsewhere', async () => {
    const JOBS = 14
    const network = await startNetwork(1)
    for (const endpoint of network.endpoints) endpoint.runMs = 500
    for (let job = 0; job < JOBS; job++) network.submit(0, `j${job}`, 2)
    await network.advance(30)
    evacuate(network, 0, 5n, ['a'])
    await network.advance(AGENTS_KNOW_MS)
    const since = network.clock.now()
    await network.advance(10_000)
    expect(countStarts(network, since).inside).toBe(0)
    expect(countCompleted(network, 'j')).toBe(JOBS)
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  it('count as no capacity at admission: a job is refused at once while all zones are evacuated', async () => {
    const network = await startNetwork(1)
    evacuate(network, 0, 5n, ['a', 'b'])
    await network.advance(AGENTS_KNOW_MS)
    network.submit(0, 'j', 2)
    await network.advance(5)
    expect(network.jobEnds.get('j')).toMatchObject({ type: 'refused', reason: REASONS.noEndpoint })
  })

  it('get starts again once the zone is restored', async () => {
    const network = await startNetwork(2)
    evacuate(network, 0, 5n, ['a'])
    await network.advance(ENTRIES_KNOW_MS)
    evacuate(network, 0, 9n, [])
    await network.advance(ENTRIES_KNOW_MS)
    const since = network.clock.now()
    for (let job = 0; job < 12; job++) network.submit(job % 2, `j${job}`, 4)
    await network.advance(3000)
    expect(countStarts(network, since).inside).toBeGreaterThan(0)
    expect(countCompleted(network, 'j')).toBe(12)
  })

  const listOrders: Array<{ name: string, lists: Array<{ version: bigint, zones: string[] }>, isEvacuated: boolean }> = [
    { name: 'a removal before its evacuation', lists: [{ version: 9n, zones: [] }, { version: 5n, zones: ['a'] }], isEvacuated: false },
    { name: 'a new evacuation before an old removal', lists: [{ version: 12n, zones: ['a'] }, { version: 9n, zones: [] }], isEvacuated: true },
    { name: 'the same list twice', lists: [{ version: 5n, zones: ['a'] }, { version: 5n, zones: ['a'] }], isEvacuated: true },
    { name: 'the zone, then another one as well', lists: [{ version: 5n, zones: ['a'] }, { version: 7n, zones: ['a', 'b'] }], isEvacuated: true }
  ]
  it.each(listOrders)('follow the newest list, in whatever order entries read lists: $name (evacuated: $isEvacuated)', async ({ lists, isEvacuated }) => {
    const network = await startNetwork(2)
    for (const [index, { version, zones }] of lists.entries()) {
      evacuate(network, index % 2, version, zones)
      await network.advance(AGENTS_KNOW_MS)
    }
    await network.advance(ENTRIES_KNOW_MS)
    for (const entry of network.entries) expect(entry.dispatcher.sessions.evacuatedZones.includes('a')).toBe(isEvacuated)
    for (const { host } of network.agents.slice(0, 2)) expect(host.isEvacuated).toBe(isEvacuated)
  })

  const restarts: Array<{ name: string, act: (network: LeasedNetwork) => void, maxRefused?: number }> = [
    { name: 'an agent of the zone restarts', act: (network) => network.killAgent(0) },
    // No endpoint is known for a moment, so that jobs are refused.
    { name: 'all agents restart', act: (network) => { for (let agent = 0; agent < 4; agent++) network.killAgent(agent) }, maxRefused: 2 },
    { name: 'an entry restarts without a store', act: (network) => network.killEntry(1) },
    { name: 'all entries restart without a store', act: (network) => { network.killEntry(0); network.killEntry(1) } },
    { name: 'an entry and an agent restart at once', act: (network) => { network.killEntry(1); network.killAgent(0) } },
    { name: 'an endpoint of the zone restarts', act: (network) => network.restartEndpoint(0) }
  ]
  it.each(restarts)('get no start after $name', async ({ act, maxRefused = 0 }) => {
    const network = await startNetwork(2)
    evacuate(network, 0, 5n, ['a'])
    await network.advance(ENTRIES_KNOW_MS)
    act(network)
    const since = network.clock.now()
    await submitMany(network, 'j', 16, (job) => job % 2)
    await network.advance(4000)
    // Any beyond the first four are new incarnations of the zone's endpoint 0.
    const [first, second, ...others] = network.endpoints
    const inside = [first!, second!, ...others.slice(2)]
    expect(inside.reduce((sum, endpoint) => sum + countStartsAt(endpoint, since), 0)).toBe(0)
    const refused = [...network.jobEnds.values()].filter((end) => end.type === 'refused' && end.reason === REASONS.noEndpoint).length
    expect(countCompleted(network, 'j') + refused).toBe(16)
    expect(refused).toBeLessThanOrEqual(maxRefused)
  })

  const SEEDS = Array.from({ length: 12 }, (_, index) => ({ seed: index + 1 }))
  it.each(SEEDS)('get no start under overlapping restarts, cut links and changes of the list (seed $seed)', async ({ seed }) => {
    const random = seededRandom(seed)
    const pick = (count: number): number => Math.floor(random() * count)
    const network = await startNetwork(3)
    let version = 1n
    let zones: string[] = []
    for (let round = 0; round < 6; round++) {
      const isEvacuating = zones.length === 0
      zones = isEvacuating ? ['a'] : []
      version += BigInt(1 + pick(3))
      // Entry 0 always reads the store; the others do so at random.
      evacuate(network, 0, version, zones)
      if (random() < 0.5) evacuate(network, 1 + pick(2), version, zones)
      if (random() < 0.5) network.killAgent(pick(4))
      if (random() < 0.3) network.killEntry(1 + pick(2))
      const cut = { agent: pick(4), entry: 1 + pick(2) }
      network.cut(cut.agent, cut.entry, true)
      await submitMany(network, `r${round}-`, 5, () => pick(3))
      network.cut(cut.agent, cut.entry, false)
      // Longer than sessions take to open again after the cut and the restarts.
      await network.advance(1500)
      const since = network.clock.now()
      await submitMany(network, `s${round}-`, 5, () => pick(3))
      await network.advance(500)
      if (isEvacuating) expect(countStarts(network, since).inside).toBe(0)
    }
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })
})
