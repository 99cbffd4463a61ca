import { describe, expect, it } from 'vitest'
import { ReturnedStarts } from './returnedStarts.js'

describe('the part of starts that come back', () => {
  const cases = [{ every: 0, expected: 0 }, { every: 10, expected: 0.1 }, { every: 4, expected: 0.25 }, { every: 1, expected: 1 }]
  it.each(cases)('one of $every', ({ every, expected }) => {
    const returns = new ReturnedStarts()
    for (let start = 1; start <= 1000; start++) {
      returns.onSent(1)
      if (every > 0 && start % every === 0) returns.onReturned()
    }
    expect(returns.share).toBeCloseTo(expected, 1)
  })

  it('is forgotten once starts are accepted', () => {
    const returns = new ReturnedStarts()
    for (let start = 0; start < 50; start++) returns.onReturned()
    returns.onSent(500)
    expect(returns.share).toBeLessThan(0.01)
  })
})
