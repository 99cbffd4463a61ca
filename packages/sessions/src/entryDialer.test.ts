import { rendezvousScore } from '@hazellift/common'
import { ALL_ENTRIES } from '@hazellift/decisions'
import type { EntryLocation, SubsetLimits } from '@hazellift/decisions'
import { describe, expect, it } from 'vitest'
import { createFakeClock } from '../../coordination/tests/fakeClock.js'
import { EntryDialer } from './entryDialer.js'
import type { DialHandle } from './entryDialer.js'

const STEP_MS = 10
const LIMITS: SubsetLimits = { near: 2, far: 2 }

const flushTasks = async (): Promise<void> => { for (let i = 0; i < 4; i++) await new Promise((resolve) => setImmediate(resolve)) }

const entriesOf = (count: number): EntryLocation[] =>
  Array.from({ length: count }, (_, index) => ({ address: `e${index}`, zone: index % 2 === 0 ? 'here' : 'there' }))

/** An agent's dialer, and entries that accept its sessions or refuse them. */
class Fixture {
  readonly clock = createFakeClock()
  readonly open = new Map<string, DialHandle & { end: () => void }>()
  readonly dialled: string[] = []
  readonly retired: string[] = []
  readonly down = new Set<string>()
  readonly dialer: EntryDialer

  constructor (options: { limits?: SubsetLimits, seeds?: string[], seedIntervalMs?: number } = {}) {
    const { limits = LIMITS, seeds = [], seedIntervalMs = 0 } = options
    this.dialer = new EntryDialer({
      clock: this.clock,
      random: () => 0.5,
      zone: 'here',
      score: (address) => rendezvousScore('agent', address),
      limits,
      seeds,
      seedIntervalMs,
      dial: (address, handle) => this.dial(address, handle)
    })
  }

  async run (ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      this.clock.advance(STEP_MS)
      await flushTasks()
    }
  }

  /** Kills an entry: its sessions end and it accepts none. */
  killEntry (address: string): void {
    this.down.add(address)
    this.open.get(address)?.end()
  }

  get connected (): string[] {
    return [...this.open.keys()].sort()
  }

  private dial (address: string, handle: DialHandle): Promise<void> {
    this.dialled.push(address)
    if (this.down.has(address)) return Promise.resolve()
    return new Promise((resolve) => {
      const end = (): void => {
        this.open.delete(address)
        resolve()
      }
      this.open.set(address, { ...handle, end })
      handle.signal.addEventListener('abort', end)
      handle.retired.addEventListener('abort', () => {
        this.retired.push(address)
        end()
      })
      handle.onOpen()
    })
  }
}

describe('sessions with a subset of the entries', () => {
  it('dials two entries of the own zone and two of others, of all that any source lists', async () => {
    const fixture = new Fixture()
    fixture.dialer.onLookedUp(entriesOf(12))
    await fixture.run(100)
    expect(fixture.connected.filter((address) => Number(address.slice(1)) % 2 === 0)).toHaveLength(2)
    expect(fixture.connected).toHaveLength(4)
  })

  it('keeps the sessions when one entry lists only itself', async () => {
    const fixture = new Fixture()
    fixture.dialer.onLookedUp(entriesOf(12))
    await fixture.run(100)
    const connected = fixture.connected
    for (const address of connected) fixture.open.get(address)!.onEntries(entriesOf(12))
    fixture.open.get(connected[0]!)!.onEntries([entriesOf(12)[Number(connected[0]!.slice(1))]!])
    await fixture.run(8000)
    expect(fixture.connected).toEqual(connected)
  })

  it('dials only the same entry again when an entry restarts within the second after which it counts as unreachable', async () => {
    const fixture = new Fixture()
    fixture.dialer.onLookedUp(entriesOf(12))
    await fixture.run(100)
    const connected = fixture.connected
    fixture.killEntry(connected[0]!)
    await fixture.run(500)
    fixture.down.clear()
    await fixture.run(500)
    expect(fixture.connected).toEqual(connected)
    expect(new Set(fixture.dialled).size).toBe(4)
  })

  it('replaces an entry that stays unreachable, and retires the substitute some seconds after the entry is back', async () => {
    const fixture = new Fixture()
    fixture.dialer.onLookedUp(entriesOf(12))
    await fixture.run(100)
    const connected = fixture.connected
    fixture.killEntry(connected[0]!)
    await fixture.run(2500)
    expect(fixture.connected).toHaveLength(4)
    expect(fixture.connected).not.toContain(connected[0])
    fixture.down.clear()
    await fixture.run(2500)
    expect(fixture.connected).toHaveLength(5)
    await fixture.run(3000)
    expect(fixture.connected).toEqual(connected)
    expect(fixture.retired).toHaveLength(1)
  })

  it('finds the only live entry when all others are unreachable', async () => {
    const fixture = new Fixture()
    const entries = entriesOf(12)
    for (const { address } of entries) fixture.down.add(address)
    fixture.down.delete('e4')
    fixture.dialer.onLookedUp(entries)
    await fixture.run(12_000)
    expect(fixture.connected).toEqual(['e4'])
  })

  it('stops dialling an entry that left once no source lists it', async () => {
    const fixture = new Fixture()
    fixture.dialer.onLookedUp(entriesOf(4))
    await fixture.run(100)
    for (const { onEntries } of [...fixture.open.values()]) onEntries(entriesOf(3))
    fixture.killEntry('e3')
    await fixture.run(10_000)
    const dials = fixture.dialled.length
    await fixture.run(10_000)
    expect(fixture.dialled.length).toBe(dials)
    expect(fixture.connected).toEqual(['e0', 'e1', 'e2'])
  })

  it('keeps the session with a stopping entry that no source lists, until that entry ends it', async () => {
    const fixture = new Fixture({ limits: ALL_ENTRIES })
    fixture.dialer.onLookedUp(entriesOf(4))
    await fixture.run(100)
    for (const { onEntries } of [...fixture.open.values()]) onEntries(entriesOf(3))
    await fixture.run(10_000)
    expect(fixture.connected).toContain('e3')
    expect(fixture.retired).toEqual([])
    fixture.killEntry('e3')
    await fixture.run(20_000)
    const dials = fixture.dialled.length
    await fixture.run(10_000)
    expect(fixture.dialled.length).toBe(dials)
  })

  it.each([40, 400])('dials no more often than with few entries while none of %i entries can be reached', async (count) => {
    const fixture = new Fixture()
    const entries = entriesOf(count)
    for (const { address } of entries) fixture.down.add(address)
    fixture.dialer.onLookedUp(entries)
    await fixture.run(5000)
    const before = fixture.dialled.length
    await fixture.run(5000)
    // Four chosen entries are dialled every two seconds, and four others six times within the second after which they count as unreachable.
    expect(fixture.dialled.length - before).toBeLessThan((4 / 2 + 4 * 6) * 5)
  })
})

describe('seeds', () => {
  const starts: Array<{ name: string, seedIntervalMs: number, lookedUpAt: number | undefined, expected: number }> = [
    { name: 'are all dialled at once without an interval', seedIntervalMs: 0, lookedUpAt: undefined, expected: 3 },
    { name: 'are dialled one after the other with an interval', seedIntervalMs: 100, lookedUpAt: undefined, expected: 2 },
    { name: 'are not dialled if entries are looked up first', seedIntervalMs: 100, lookedUpAt: 20, expected: 0 }
  ]
  it.each(starts)('$name', async ({ seedIntervalMs, lookedUpAt, expected }) => {
    const seeds = ['s0', 's1', 's2']
    const fixture = new Fixture({ seeds, seedIntervalMs })
    fixture.dialer.start()
    if (lookedUpAt !== undefined) fixture.clock.after(lookedUpAt, () => fixture.dialer.onLookedUp(entriesOf(4)))
    await fixture.run(250)
    expect(seeds.filter((seed) => fixture.open.has(seed))).toHaveLength(expected)
  })

  it('are retired once entries are known, if they are not chosen', async () => {
    const entries = entriesOf(12)
    const chosen = new Fixture()
    chosen.dialer.onLookedUp(entries)
    await chosen.run(100)
    const seed = entries.find(({ address }) => !chosen.connected.includes(address))!.address
    const fixture = new Fixture({ seeds: [seed] })
    fixture.dialer.start()
    await fixture.run(50)
    fixture.open.get(seed)!.onEntries(entries)
    await fixture.run(4000)
    expect(fixture.connected).toEqual(chosen.connected)
    expect(fixture.retired).toEqual([seed])
  })

  it('without limits, sessions with all entries are kept', async () => {
    const fixture = new Fixture({ limits: ALL_ENTRIES })
    fixture.dialer.onLookedUp(entriesOf(30))
    await fixture.run(100)
    expect(fixture.connected).toHaveLength(30)
  })
})
