import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { startKeepAlive } from './startKeepAlive.js'

describe('keep-alive frames', () => {
  beforeEach(() => { vi.useFakeTimers() })
  afterEach(() => { vi.useRealTimers() })

  const cases: Array<{ name: string, framesAt: number[], lengthMs: number, expected: number[] }> = [
    { name: 'leave a quiet session at every interval', framesAt: [], lengthMs: 500, expected: [150, 300, 450] },
    { name: 'are not added where other frames leave', framesAt: [100, 200, 300, 400], lengthMs: 450, expected: [] },
    { name: 'follow a whole interval after the last frame', framesAt: [100], lengthMs: 420, expected: [250, 400] }
  ]
  it.each(cases)('$name', ({ framesAt, lengthMs, expected }) => {
    const keptAt: number[] = []
    const keepAlive = startKeepAlive(150, () => keptAt.push(Date.now() - startedAt))
    const startedAt = Date.now()
    for (const at of framesAt) setTimeout(keepAlive.sent, at)
    vi.advanceTimersByTime(lengthMs)
    keepAlive.stop()
    vi.advanceTimersByTime(1000)
    expect(keptAt).toEqual(expected)
  })
})
