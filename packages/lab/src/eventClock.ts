import type { Clock } from '@hazellift/common'
import TinyQueue from 'tinyqueue'

interface ScheduledEvent {
  at: number
  /** Events of the same time happen in the order in which they were set. */
  order: number
  fn: (() => void) | undefined
}

/** Resolves once all promises that are ready have been followed. */
const flushPromises = (): Promise<void> => new Promise((resolve) => { setImmediate(resolve) })

/** A clock that jumps from event to event. */
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
   * Lets everything happen that is due until then.
   *
   * @param until - in ms
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
