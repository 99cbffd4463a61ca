import { forecastWait, workAhead } from '@hazellift/decisions'
import type { OriginEntry } from '../leased/echoLimits.js'
import type { LeasedFleet } from '../leased/leasedFleet.js'

/** An entry's free capacity and queueing delay for one service, as it reports them to other entries. */
export interface ServiceLoadReport {
  /** The entry's share of the free capacity that agents have reported, in thousandths of a core. */
  freeMilli: number
  /** Forecast wait of a job of the lowest priority in the queue, in ms. */
  waitMs: number
}

/**
 * Reports this entry's free capacity and wait for a service.
 *
 * @param now - in ms, on the process's clock
 * @param originEntry - counts only agents at which this entry's jobs may start now; all agents if undefined
 */
export const reportServiceLoad = (fleet: LeasedFleet, service: string, now: number, originEntry?: OriginEntry): ServiceLoadReport => {
  const { queue } = fleet.serviceOf(service)
  const agents = fleet.agentsOf(service).filter((agent) => fleet.echoLimits.mayStart({ originEntry }, agent, now))
  const freeMilli = agents.reduce((sum, { freeCapacity, entryCount }) => sum + Math.max(0, freeCapacity.cpuMilli) / entryCount, 0)
  const priority = Math.max(0, ...[...queue].map((job) => job.priority))
  const waitMs = forecastWait(workAhead(queue, priority), priority, fleet.loadOf(service))
  return { freeMilli: Math.round(freeMilli), waitMs: Math.round(waitMs) }
}

/** The longest forecast wait of all services, in ms. */
export const longestWait = (fleet: LeasedFleet, now: number): number =>
  [...fleet.services.keys()].reduce((longest, service) => Math.max(longest, reportServiceLoad(fleet, service, now).waitMs), 0)
