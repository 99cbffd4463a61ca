import { forecastWait, workAhead } from '@hazellift/decisions'
import type { OriginEntry } from '../leased/echoLimits.js'
import type { LeasedFleet } from '../leased/leasedFleet.js'

/** What an entry can do for a job of a service. */
export interface ServiceLoadReport {
  /** Its part of the free room that endpoints told it, in thousandths of a core. */
  freeMilli: number
  /** How long a job of the least priority that waits would wait, in ms. */
  waitMs: number
}

/**
 * Room and wait of a service at this entry.
 *
 * @param now - in ms, on the process's clock
 * @param originEntry - for whose jobs; only agents count where they may start now
 */
export const reportServiceLoad = (fleet: LeasedFleet, service: string, now: number, originEntry?: OriginEntry): ServiceLoadReport => {
  const { queue } = fleet.serviceOf(service)
  const agents = fleet.agentsOf(service).filter((agent) => fleet.echoLimits.mayStart({ originEntry: originEntry }, agent, now))
  const freeMilli = agents.reduce((sum, { freeCapacity: room, entryCount }) => sum + Math.max(0, room.cpuMilli) / entryCount, 0)
  const priority = Math.max(0, ...[...queue].map((job) => job.priority))
  const waitMs = forecastWait(workAhead(queue, priority), priority, fleet.loadOf(service))
  return { freeMilli: Math.round(freeMilli), waitMs: Math.round(waitMs) }
}

/** The longest wait of all services, in ms. */
export const longestWait = (fleet: LeasedFleet, now: number): number =>
  [...fleet.services.keys()].reduce((longest, service) => Math.max(longest, reportServiceLoad(fleet, service, now).waitMs), 0)
