import { describe, expect, test } from 'vitest'
import { HEALTH_STATES } from '@hazellift/protocol'
import { EndpointHealth } from './endpointHealth.js'

const BACKOFF_MS = 1000

const setUp = (endpoints: number, maxEjectedShare = 0.5) => {
  const clock = { now: 0 }
  const health = new EndpointHealth({ now: () => clock.now, maxEjectedShare, ejectionBackoff: () => BACKOFF_MS })
  for (let n = 0; n < endpoints; n++) health.add(`e${n}`)
  return { clock, health }
}

const fail = (health: EndpointHealth, id: string, times: number): void => {
  for (let n = 0; n < times; n++) health.failed(id)
}

describe('EndpointHealth', () => {
  test.each([
    { name: 'one endpoint that fails all of its starts', failures: [5, 0, 0, 0], ejected: ['e0'] },
    { name: 'no endpoint after two failures', failures: [2, 0, 0, 0], ejected: [] },
    { name: 'no endpoint if all fail equally often, as with a faulty job', failures: [5, 5, 5, 5], ejected: [] },
    { name: 'at most two of four endpoints, if half of them may be ejected', failures: [5, 5, 5, 0], ejected: ['e0', 'e1'] },
    { name: 'no endpoint if it is the only one', failures: [9], ejected: [] }
  ])('ejects $name', ({ failures, ejected }) => {
    const { health } = setUp(failures.length)
    for (let round = 0; round < 10; round++) {
      for (const [index, times] of failures.entries()) {
        if (round < times) health.failed(`e${index}`)
        else if (times === 0) health.succeeded(`e${index}`, 100)
      }
    }
    const found = failures.map((_, index) => `e${index}`).filter((id) => health.stateOf(id) === HEALTH_STATES.ejected)
    expect(found).toEqual(ejected)
  })

  test.each([
    { name: 'three failures and no success', ends: { done: 0, failed: 3, runMs: 0 }, ejected: true },
    { name: 'two failures', ends: { done: 0, failed: 2, runMs: 0 }, ejected: false },
    { name: 'few failures among many successes', ends: { done: 20, failed: 3, runMs: 2000 }, ejected: false },
    { name: 'mostly failures', ends: { done: 1, failed: 5, runMs: 100 }, ejected: true },
    { name: 'successes only', ends: { done: 20, failed: 0, runMs: 2000 }, ejected: false }
  ])('an endpoint for which other entries count $name is ejected: $ejected', ({ ends, ejected }) => {
    const { health } = setUp(4)
    health.recordEnds('e0', ends)
    expect(health.stateOf('e0') === HEALTH_STATES.ejected).toBe(ejected)
  })

  test('an endpoint at which tasks of other entries run long is counted as slow', () => {
    const { health } = setUp(2)
    for (let n = 0; n < 40; n++) {
      health.succeeded('e1', 100)
      health.recordEnds('e0', { done: 2, failed: 0, runMs: 1000 })
    }
    expect(health.slownessOf('e0')).toBeGreaterThan(health.slownessOf('e1') * 2)
  })

  test('an ejected endpoint is probed after the ejection, with one start at a time, and restored by a success', () => {
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

  test('a probe whose result says nothing about the endpoint may be repeated', () => {
    const { clock, health } = setUp(4)
    fail(health, 'e0', 5)
    clock.now = BACKOFF_MS
    health.maySend('e0')
    health.sent('e0')
    health.inconclusive('e0')
    expect(health.maySend('e0')).toBe(true)
  })
})
