import { describe, expect, test } from 'vitest'
import { HEALTH_STATES } from '@hazellift/protocol'
import { EndpointHealth } from './endpointHealth.js'

const BACKOFF_MS = 1000

const setUp = (endpoints: number, maxShare = 0.5) => {
  const clock = { now: 0 }
  const health = new EndpointHealth({ now: () => clock.now, maxEjectedShare: maxShare, ejectionBackoff: () => BACKOFF_MS })
  for (let n = 0; n < endpoints; n++) health.add(`e${n}`)
  return { clock, health }
}

const fail = (health: EndpointHealth, id: string, times: number): void => {
  for (let n = 0; n < times; n++) health.failed(id)
}

describe('EndpointHealth', () => {
  test.each([
    { name: 'one that fails everything', failures: [5, 0, 0, 0], aside: ['e0'] },
    { name: 'none that failed twice', failures: [2, 0, 0, 0], aside: [] },
    { name: 'none if all fail alike, as a bad job makes them', failures: [5, 5, 5, 5], aside: [] },
    { name: 'two of four at most', failures: [5, 5, 5, 0], aside: ['e0', 'e1'] },
    { name: 'not the only endpoint', failures: [9], aside: [] }
  ])('sets aside $name', ({ failures, aside }) => {
    const { health } = setUp(failures.length)
    for (let round = 0; round < 10; round++) {
      for (const [index, times] of failures.entries()) {
        if (round < times) health.failed(`e${index}`)
        else if (times === 0) health.succeeded(`e${index}`, 100)
      }
    }
    const found = failures.map((_, index) => `e${index}`).filter((id) => health.stateOf(id) === HEALTH_STATES.ejected)
    expect(found).toEqual(aside)
  })

  test.each([
    { name: 'failures alone', heard: { done: 0, failed: 3, runMs: 0 }, aside: true },
    { name: 'two failures', heard: { done: 0, failed: 2, runMs: 0 }, aside: false },
    { name: 'some failures among many that were done', heard: { done: 20, failed: 3, runMs: 2000 }, aside: false },
    { name: 'mostly failures', heard: { done: 1, failed: 5, runMs: 100 }, aside: true },
    { name: 'none but those that were done', heard: { done: 20, failed: 0, runMs: 2000 }, aside: false }
  ])('an endpoint of which other entries tell $name is set aside: $aside', ({ heard, aside }) => {
    const { health } = setUp(4)
    health.recordEnds('e0', heard)
    expect(health.stateOf('e0') === HEALTH_STATES.ejected).toBe(aside)
  })

  test('an endpoint that other entries find slow counts as slow', () => {
    const { health } = setUp(2)
    for (let n = 0; n < 40; n++) {
      health.succeeded('e1', 100)
      health.recordEnds('e0', { done: 2, failed: 0, runMs: 1000 })
    }
    expect(health.slownessOf('e0')).toBeGreaterThan(health.slownessOf('e1') * 2)
  })

  test('tries one set aside again after its time, one start at a time', () => {
    const { clock, health } = setUp(4)
    fail(health, 'e0', 5)
    expect(health.maySend('e0')).toBe(false)
    clock.now = BACKOFF_MS
    expect(health.maySend('e0')).toBe(true)
    health.sent('e0')
    expect(health.maySend('e0')).toBe(false)
    health.failed('e0')
    expect(health.stateOf('e0')).toBe(HEALTH_STATES.ejected)
    clock.now = 2 * BACKOFF_MS
    expect(health.maySend('e0')).toBe(true)
    health.sent('e0')
    health.succeeded('e0', 100)
    expect(health.stateOf('e0')).toBe(HEALTH_STATES.healthy)
  })

  test('a probe that came to nothing may be repeated', () => {
    const { clock, health } = setUp(4)
    fail(health, 'e0', 5)
    clock.now = BACKOFF_MS
    health.maySend('e0')
    health.sent('e0')
    health.inconclusive('e0')
    expect(health.maySend('e0')).toBe(true)
  })
})
