import { rendezvousScore } from '@hazellift/common'
import { ALL_ENTRIES } from '@hazellift/decisions'
import type { EntryLocation, SubsetLimits } from '@hazellift/decisions'
import { describe, expect, it } from 'vitest'
import { createFakeClock } from '../../coordination/tests/fakeClock.js'
import { EntryDialer } from './entryDialer.js'
import type { DialHandle } from './entryDialer.js'

const STEP_MS = 10
const LIMITS: SubsetLimits = { near: 2, far: 2 }

const settle = async (): Promise<void> => { for (let i = 0; i < 4; i++) await new Promise((resolve) => setImmediate(resolve)) }

const entriesOf = (count: number): EntryLocation[] =>
  Array.from({ length: count }, (_, index) => ({ address: `e${index}`, zone: index % 2 === 0 ? 'here' : 'there' }))

/** An agent's dialer, and entries that take its sessions, refuse them or never answer. */
class Fixture {
  readonly clock = createFakeClock()
  readonly open = new Map<string, DialHandle & { end: () => void }>()
  readonly dialled: string[] = []
  readonly retired: string[] = []
  readonly down = new Set<string>()
  readonly dialer: EntryDialer

  constructor (options: { limits?: SubsetLimits, seeds?: string[], seedPaceMs?: number } = {}) {
    const { limits = LIMITS, seeds = [], seedPaceMs = 0 } = options
    this.dialer = new EntryDialer({
      clock: this.clock,
      random: () => 0.5,
      zone: 'here',
      score: (address) => rendezvousScore('agent', address),
      limits,
      seeds,
      seedIntervalMs: seedPaceMs,
      dial: (address, handle) => this.dial(address, handle)
    })
  }

  async run (ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      this.clock.advance(STEP_MS)
      await settle()
    }
  }

  /** The entry's process is gone; its sessions end. */
  lose (address: string): void {
    this.down.add(address)
    this.open.get(address)?.end()
  }

  get held (): string[] {
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

describe('sessions with a part of the entries', () => {
  it('two of the own zone and two others, of those that any source lists', async () => {
    const fixture = new Fixture()
    fixture.dialer.onLookedUp(entriesOf(12))
    await fixture.run(100)
    expect(fixture.held.filter((address) => Number(address.slice(1)) % 2 === 0)).toHaveLength(2)
    expect(fixture.held).toHaveLength(4)
  })

  it('one with a list of its own few does not take the others away', async () => {
    const fixture = new Fixture()
    fixture.dialer.onLookedUp(entriesOf(12))
    await fixture.run(100)
    const held = fixture.held
    for (const address of held) fixture.open.get(address)!.onEntries(entriesOf(12))
    fixture.open.get(held[0]!)!.onEntries([entriesOf(12)[Number(held[0]!.slice(1))]!])
    await fixture.run(8000)
    expect(fixture.held).toEqual(held)
  })

  it('one that restarts is dialled again, and nothing else', async () => {
    const fixture = new Fixture()
    fixture.dialer.onLookedUp(entriesOf(12))
    await fixture.run(100)
    const held = fixture.held
    fixture.lose(held[0]!)
    await fixture.run(500)
    fixture.down.clear()
    await fixture.run(500)
    expect(fixture.held).toEqual(held)
    expect(new Set(fixture.dialled).size).toBe(4)
  })

  it('one that stays away has a substitute, which is left some seconds after its return', async () => {
    const fixture = new Fixture()
    fixture.dialer.onLookedUp(entriesOf(12))
    await fixture.run(100)
    const held = fixture.held
    fixture.lose(held[0]!)
    await fixture.run(2500)
    expect(fixture.held).toHaveLength(4)
    expect(fixture.held).not.toContain(held[0])
    fixture.down.clear()
    await fixture.run(2500)
    expect(fixture.held).toHaveLength(5)
    await fixture.run(3000)
    expect(fixture.held).toEqual(held)
    expect(fixture.retired).toHaveLength(1)
  })

  it('with most entries lost, those that live are found', async () => {
    const fixture = new Fixture()
    const entries = entriesOf(12)
    for (const { address } of entries) fixture.down.add(address)
    fixture.down.delete('e4')
    fixture.dialer.onLookedUp(entries)
    await fixture.run(12_000)
    expect(fixture.held).toEqual(['e4'])
  })

  it('an entry that leaves is not dialled any more once nobody lists it', async () => {
    const fixture = new Fixture()
    fixture.dialer.onLookedUp(entriesOf(4))
    await fixture.run(100)
    for (const { onEntries } of [...fixture.open.values()]) onEntries(entriesOf(3))
    fixture.lose('e3')
    await fixture.run(10_000)
    const dials = fixture.dialled.length
    await fixture.run(10_000)
    expect(fixture.dialled.length).toBe(dials)
    expect(fixture.held).toEqual(['e0', 'e1', 'e2'])
  })

  it('an entry that nobody lists any more keeps its session: it stops, and ends it when its jobs are over', async () => {
    const fixture = new Fixture({ limits: ALL_ENTRIES })
    fixture.dialer.onLookedUp(entriesOf(4))
    await fixture.run(100)
    for (const { onEntries } of [...fixture.open.values()]) onEntries(entriesOf(3))
    await fixture.run(10_000)
    expect(fixture.held).toContain('e3')
    expect(fixture.retired).toEqual([])
    fixture.lose('e3')
    await fixture.run(20_000)
    const dials = fixture.dialled.length
    await fixture.run(10_000)
    expect(fixture.dialled.length).toBe(dials)
  })

  it.each([40, 400])('while none of %i entries can be reached, dials are as few as with few entries', async (count) => {
    const fixture = new Fixture()
    const entries = entriesOf(count)
    for (const { address } of entries) fixture.down.add(address)
    fixture.dialer.onLookedUp(entries)
    await fixture.run(5000)
    const before = fixture.dialled.length
    await fixture.run(5000)
    // Four chosen ones every two seconds, and four others six times within the second after which they count as lost.
    expect(fixture.dialled.length - before).toBeLessThan((4 / 2 + 4 * 6) * 5)
  })
})

describe('the seeds', () => {
  const starts: Array<{ name: string, seedPaceMs: number, lookedUpAt: number | undefined, expected: number }> = [
    { name: 'are dialled at once without a pace', seedPaceMs: 0, lookedUpAt: undefined, expected: 3 },
    { name: 'are dialled one after the other', seedPaceMs: 100, lookedUpAt: undefined, expected: 2 },
    { name: 'are left alone if the store tells of entries first', seedPaceMs: 100, lookedUpAt: 20, expected: 0 }
  ]
  it.each(starts)('$name', async ({ seedPaceMs, lookedUpAt, expected }) => {
    const seeds = ['s0', 's1', 's2']
    const fixture = new Fixture({ seeds, seedPaceMs })
    fixture.dialer.start()
    if (lookedUpAt !== undefined) fixture.clock.after(lookedUpAt, () => fixture.dialer.onLookedUp(entriesOf(4)))
    await fixture.run(250)
    expect(seeds.filter((seed) => fixture.open.has(seed))).toHaveLength(expected)
  })

  it('are left once entries are known, if none of them is chosen', async () => {
    const entries = entriesOf(12)
    const chosen = new Fixture()
    chosen.dialer.onLookedUp(entries)
    await chosen.run(100)
    const seed = entries.find(({ address }) => !chosen.held.includes(address))!.address
    const fixture = new Fixture({ seeds: [seed] })
    fixture.dialer.start()
    await fixture.run(50)
    fixture.open.get(seed)!.onEntries(entries)
    await fixture.run(4000)
    expect(fixture.held).toEqual(chosen.held)
    expect(fixture.retired).toEqual([seed])
  })

  it('without limits every entry is held', async () => {
    const fixture = new Fixture({ limits: ALL_ENTRIES })
    fixture.dialer.onLookedUp(entriesOf(30))
    await fixture.run(100)
    expect(fixture.held).toHaveLength(30)
  })
})
