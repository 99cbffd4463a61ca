import type { Clock } from '@hazellift/common'
import TinyQueue from 'tinyqueue'

interface ScheduledEvent {
  at: number
  /** Events of the same time fire in the order in which they were scheduled. */
  order: number
  fn: (() => void) | undefined
}

/** Resolves once all pending promise callbacks have run. */
const flushPromises = (): Promise<void> => new Promise((resolve) => { setImmediate(resolve) })

/** Clock of a discrete-event simulation: time advances from one scheduled event to the next. */
export class EventClock implements Clock {
  private time = 0
  private nextOrder = 0
  private readonly events = new TinyQueue<ScheduledEvent>([], (a, b) => a.at - b.at || a.order - b.order)

  now = (): number => this.time
  wallNow = (): number => this.time

  after = (ms: number, fn: () => void): (() => void) => {
    const event: ScheduledEvent = { at: this.time + Math.max(0, ms), order: this.nextOrder++, fn }
    this.events.push(event)
    return () => { event.fn = undefined }
  }

  sleep = (ms: number): Promise<void> => new Promise((resolve) => { this.after(ms, resolve) })

  /**
   * Fires all events that are due up to a time, and those they schedule before it.
   *
   * @param until - time on this clock, in ms
   */
  async runUntil (until: number): Promise<void> {
    await flushPromises()
    for (let next = this.events.peek(); next !== undefined && next.at <= until; next = this.events.peek()) {
      this.events.pop()
      if (next.fn === undefined) continue
      this.time = next.at
      next.fn()
      await flushPromises()
    }
    this.time = until
  }
}
