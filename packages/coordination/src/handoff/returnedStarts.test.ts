import { describe, expect, it } from 'vitest'
import { ReturnedStarts } from './returnedStarts.js'

describe('ReturnedStarts', () => {
  const cases = [{ every: 0, expected: 0 }, { every: 10, expected: 0.1 }, { every: 4, expected: 0.25 }, { every: 1, expected: 1 }]
  it.each(cases)('the share is about $expected if one start in $every is returned (0: none)', ({ every, expected }) => {
    const returnedStarts = new ReturnedStarts()
    for (let start = 1; start <= 1000; start++) {
      returnedStarts.onSent(1)
      if (every > 0 && start % every === 0) returnedStarts.onReturned()
    }
    expect(returnedStarts.share).toBeCloseTo(expected, 1)
  })

  it('the share falls to nearly 0 once starts are accepted', () => {
    const returnedStarts = new ReturnedStarts()
    for (let start = 0; start < 50; start++) returnedStarts.onReturned()
    returnedStarts.onSent(500)
    expect(returnedStarts.share).toBeLessThan(0.01)
  })
})
