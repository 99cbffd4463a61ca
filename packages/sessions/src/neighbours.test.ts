import { createFakeClock } from '../../coordination/tests/fakeClock.js'
import { describe, expect, it } from 'vitest'
import { Neighbours } from './neighbours.js'

const OTHERS = ['z1', 'z1', 'z2', 'z2', 'z3'].map((zone, index) => ({ address: `e${index}:1`, zone }))

interface State { isWanted: boolean, outstanding: number, refusing: Set<string> }

const start = (others = OTHERS) => {
  const clock = createFakeClock()
  const state: State = { isWanted: false, outstanding: 0, refusing: new Set() }
  const open = new Set<string>()
  let dials = 0
  const neighbours = new Neighbours({
    clock,
    zone: 'z1',
    score: (address) => -Number(address[1]),
    others: () => others,
    needsStreams: () => state.isWanted,
    outstandingJobs: () => state.outstanding,
    dial: async ({ address }, signal) => {
      dials++
      if (state.refusing.has(address)) return
      open.add(address)
      await new Promise<void>((resolve) => { signal.addEventListener('abort', () => resolve()) })
      open.delete(address)
    }
  })
  const sweep = async (): Promise<string[]> => {
    neighbours.sweep()
    await new Promise((resolve) => setImmediate(resolve))
    clock.advance(25)
    return [...open].sort()
  }
  return { state, sweep, clock, dials: () => dials, neighbours }
}

describe('streams to neighbours', () => {
  it('none without need', async () => {
    const { sweep, dials } = start()
    expect(await sweep()).toEqual([])
    expect(dials()).toBe(0)
  })

  const cases: Array<{ name: string, others?: typeof OTHERS, refusing?: string[], expected: string[] }> = [
    { name: 'one of the zone and two others', expected: ['e0:1', 'e2:1', 'e3:1'] },
    { name: 'others in place of those that end at once', refusing: ['e0:1'], expected: ['e1:1', 'e2:1', 'e3:1'] },
    { name: 'as many as there are', others: OTHERS.slice(0, 2), expected: ['e0:1', 'e1:1'] },
    { name: 'nobody, for the only entry', others: [], expected: [] }
  ]
  it.each(cases)('with need: $name', async ({ others, refusing = [], expected }) => {
    const { state, sweep } = start(others)
    state.isWanted = true
    for (const address of refusing) state.refusing.add(address)
    await sweep()
    expect(await sweep()).toEqual(expected)
  })

  it('they end with the need, but not while work is out', async () => {
    const { state, sweep } = start()
    state.isWanted = true
    state.outstanding = 1
    await sweep()
    state.isWanted = false
    expect(await sweep()).toHaveLength(3)
    state.outstanding = 0
    expect(await sweep()).toEqual([])
  })

  it('one that refuses is left alone for a while', async () => {
    const { state, sweep, dials, clock } = start(OTHERS.slice(0, 1))
    state.isWanted = true
    state.refusing.add('e0:1')
    for (let look = 0; look < 10; look++) await sweep()
    expect(dials()).toBe(1)
    clock.advance(2000)
    await sweep()
    expect(dials()).toBe(2)
  })
})
