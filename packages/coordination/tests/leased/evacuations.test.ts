import { seededRandom } from '@hazellift/common'
import { REASONS } from '@hazellift/protocol'
import { describe, expect, it } from 'vitest'
import { CAPACITY, overlappingRuns } from './fakeEndpoint.js'
import type { FakeEndpoint } from './fakeEndpoint.js'
import { LeasedNetwork, LEASE_TIMES } from './leasedNetwork.js'

// An operator asks that nothing more be sent to the endpoints of a zone. Neither
// entries nor agents knew of it: the zone's endpoints got every third start until
// it was taken back.

const JOIN_MS = 400
/** From the moment at which one entry has read an evacuation until every agent has heard of it, without faults. */
const HEARD_MS = 20
/** Through an agent to an entry that does not read the store itself: a keep-alive each way. */
const PASSED_ON_MS = 400

/** Agents 0 and 1 are in the zone "a", 2 and 3 in "b". */
const zoneOf = (agent: number): string => agent < 2 ? 'a' : 'b'

const started = async (entries: number, isJoined = true): Promise<LeasedNetwork> => {
  const network = new LeasedNetwork(entries, 4, LEASE_TIMES, CAPACITY, zoneOf)
  if (isJoined) await network.advance(JOIN_MS)
  return network
}

const evacuate = (network: LeasedNetwork, entry: number, version: bigint, zones: string[]): void =>
  network.entries[entry]!.dispatcher.sessions.setEvacuations({ version, zones })

const startsAt = ({ endedRuns: past, openRuns: open }: FakeEndpoint, since = 0): number => [...past, ...open].filter(({ startedAt: from }) => from >= since).length

/** Starts in the zone "a" and elsewhere since a moment. */
const startsOf = ({ endpoints }: LeasedNetwork, since: number) => ({
  inside: startsAt(endpoints[0]!, since) + startsAt(endpoints[1]!, since),
  outside: startsAt(endpoints[2]!, since) + startsAt(endpoints[3]!, since)
})

const submitMany = async (network: LeasedNetwork, prefix: string, jobs: number, entryOf: (job: number) => number): Promise<void> => {
  for (let job = 0; job < jobs; job++) {
    network.submit(entryOf(job), `${prefix}${job}`, 2)
    await network.advance(25)
  }
}

const completed = (network: LeasedNetwork, prefix: string): number =>
  [...network.jobEnds].filter(([id, { type }]) => id.startsWith(prefix) && type === 'complete').length

describe('the endpoints of an evacuated zone', () => {
  it('get no start from any entry, while what runs there is finished and answered', async () => {
    const network = await started(2)
    for (const endpoint of network.endpoints) endpoint.runMs = 700
    for (let job = 0; job < 4; job++) network.submit(job % 2, `before${job}`, 2, { kind: 'long', estimateMs: 700 })
    await network.advance(100)
    expect(startsOf(network, 0).inside).toBeGreaterThan(0)
    evacuate(network, 0, 5n, ['a'])
    await network.advance(PASSED_ON_MS)
    for (const endpoint of network.endpoints) endpoint.runMs = 100
    const since = network.clock.now()
    await submitMany(network, 'after', 20, (job) => job % 2)
    await network.advance(3000)
    expect(startsOf(network, since)).toEqual({ inside: 0, outside: 40 })
    expect([completed(network, 'before'), completed(network, 'after')]).toEqual([4, 20])
    expect(network.endedStartCounts.get(REASONS.leaseExpired)).toBeUndefined()
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  it('get none from the moment at which their agents heard of it, though an entry still sends', async () => {
    const network = await started(2)
    // Entry 1 reads no store, and its links are silent to all but one agent of the zone.
    for (const agent of [1, 2, 3]) network.cut(agent, 1, true)
    evacuate(network, 0, 5n, ['a'])
    await network.advance(HEARD_MS)
    const since = network.clock.now()
    await submitMany(network, 'late', 10, () => 1)
    await network.advance(500)
    expect(startsOf(network, since).inside).toBe(0)
    for (const agent of [1, 2, 3]) network.cut(agent, 1, false)
    await network.advance(4000)
    expect(startsOf(network, since)).toEqual({ inside: 0, outside: 20 })
    expect(completed(network, 'late')).toBe(10)
  })

  it('give back the starts that wait there for room, and those run elsewhere', async () => {
    const JOBS = 14
    const network = await started(1)
    for (const endpoint of network.endpoints) endpoint.runMs = 500
    for (let job = 0; job < JOBS; job++) network.submit(0, `j${job}`, 2)
    await network.advance(30)
    evacuate(network, 0, 5n, ['a'])
    await network.advance(HEARD_MS)
    const since = network.clock.now()
    await network.advance(10_000)
    expect(startsOf(network, since).inside).toBe(0)
    expect(completed(network, 'j')).toBe(JOBS)
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  it('count for nothing at admission: with all zones evacuated a job is refused at once, as not run', async () => {
    const network = await started(1)
    evacuate(network, 0, 5n, ['a', 'b'])
    await network.advance(HEARD_MS)
    network.submit(0, 'j', 2)
    await network.advance(5)
    expect(network.jobEnds.get('j')).toMatchObject({ type: 'refused', reason: REASONS.noEndpoint })
  })

  it('get work again once the zone is restored', async () => {
    const network = await started(2)
    evacuate(network, 0, 5n, ['a'])
    await network.advance(PASSED_ON_MS)
    evacuate(network, 0, 9n, [])
    await network.advance(PASSED_ON_MS)
    const since = network.clock.now()
    for (let job = 0; job < 12; job++) network.submit(job % 2, `j${job}`, 4)
    await network.advance(3000)
    expect(startsOf(network, since).inside).toBeGreaterThan(0)
    expect(completed(network, 'j')).toBe(12)
  })

  const lateNews: Array<{ name: string, told: Array<{ version: bigint, zones: string[] }>, isEvacuated: boolean }> = [
    { name: 'its removal, heard before the request', told: [{ version: 9n, zones: [] }, { version: 5n, zones: ['a'] }], isEvacuated: false },
    { name: 'its removal and the next request, in reverse', told: [{ version: 12n, zones: ['a'] }, { version: 9n, zones: [] }], isEvacuated: true },
    { name: 'the same news twice', told: [{ version: 5n, zones: ['a'] }, { version: 5n, zones: ['a'] }], isEvacuated: true },
    { name: 'the zone evacuated, then another one as well', told: [{ version: 5n, zones: ['a'] }, { version: 7n, zones: ['a', 'b'] }], isEvacuated: true }
  ]
  it.each(lateNews)('follow the newest list, whoever told it: $name', async ({ told, isEvacuated }) => {
    const network = await started(2)
    for (const [index, { version, zones }] of told.entries()) {
      evacuate(network, index % 2, version, zones)
      await network.advance(HEARD_MS)
    }
    await network.advance(PASSED_ON_MS)
    for (const entry of network.entries) expect(entry.dispatcher.sessions.evacuatedZones.includes('a')).toBe(isEvacuated)
    for (const { host } of network.agents.slice(0, 2)) expect(host.isEvacuated).toBe(isEvacuated)
  })

  const restarts: Array<{ name: string, act: (network: LeasedNetwork) => void, mostRefused?: number }> = [
    { name: 'an agent of the zone restarts', act: (network) => network.killAgent(0) },
    // For a moment there is no endpoint at all.
    { name: 'all agents restart', act: (network) => { for (let agent = 0; agent < 4; agent++) network.killAgent(agent) }, mostRefused: 2 },
    { name: 'an entry restarts without a store', act: (network) => network.killEntry(1) },
    { name: 'all entries restart without a store', act: (network) => { network.killEntry(0); network.killEntry(1) } },
    { name: 'an entry and an agent restart at once', act: (network) => { network.killEntry(1); network.killAgent(0) } },
    { name: 'an endpoint of the zone starts again', act: (network) => network.restartEndpoint(0) }
  ]
  it.each(restarts)('get no start after $name', async ({ act, mostRefused = 0 }) => {
    const network = await started(2)
    evacuate(network, 0, 5n, ['a'])
    await network.advance(PASSED_ON_MS)
    act(network)
    const since = network.clock.now()
    await submitMany(network, 'j', 16, (job) => job % 2)
    await network.advance(4000)
    const [first, second, ...others] = network.endpoints
    const inside = [first!, second!, ...others.slice(2)]
    expect(inside.reduce((sum, endpoint) => sum + startsAt(endpoint, since), 0)).toBe(0)
    const refused = [...network.jobEnds.values()].filter((end) => end.type === 'refused' && end.reason === REASONS.noEndpoint).length
    expect(completed(network, 'j') + refused).toBe(16)
    expect(refused).toBeLessThanOrEqual(mostRefused)
  })

  const SEEDS = Array.from({ length: 12 }, (_, index) => ({ seed: index + 1 }))
  it.each(SEEDS)('hold under restarts, cuts and changes that overlap, seed $seed', async ({ seed }) => {
    const random = seededRandom(seed)
    const pick = (count: number): number => Math.floor(random() * count)
    const network = await started(3)
    let version = 1n
    let zones: string[] = []
    for (let round = 0; round < 6; round++) {
      const isEvacuating = zones.length === 0
      zones = isEvacuating ? ['a'] : []
      version += BigInt(1 + pick(3))
      // Entry 0 always reads the store; the others may not.
      evacuate(network, 0, version, zones)
      if (random() < 0.5) evacuate(network, 1 + pick(2), version, zones)
      if (random() < 0.5) network.killAgent(pick(4))
      if (random() < 0.3) network.killEntry(1 + pick(2))
      const cut = { agent: pick(4), entry: 1 + pick(2) }
      network.cut(cut.agent, cut.entry, true)
      await submitMany(network, `r${round}-`, 5, () => pick(3))
      network.cut(cut.agent, cut.entry, false)
      // Whatever was cut or restarted is back for longer than a session takes to open.
      await network.advance(1500)
      const since = network.clock.now()
      await submitMany(network, `s${round}-`, 5, () => pick(3))
      await network.advance(500)
      if (isEvacuating) expect(startsOf(network, since).inside).toBe(0)
    }
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })
})
