import { assertNever } from '@hazellift/common'
import { sampleShare } from './draw.js'
import type { LabWorld } from './labWorld.js'
import type { Trouble } from './scenario.js'

/** Time from the start of a process to its first session, measured on the platform's machines. */
const PROCESS_START_MS = { entry: 300, agent: 460 }

/** What a trouble does when it begins; the result undoes it. Troubles of the traffic are drawn with it. */
const applyTrouble = (world: LabWorld, trouble: Trouble): (() => void) | undefined => {
  const { agents, entries, links, random } = world
  const forMs = trouble.for * 1000
  const endpoints = (share: number) => sampleShare(random, agents, share).map(({ endpoint }) => endpoint)
  switch (trouble.kind) {
    case 'burst': case 'callers_leave': case 'hopeless_jobs': return undefined
    case 'lost_orders':
      for (const { endpoint } of agents) endpoint.lostOrderShare = trouble.share
      return () => { for (const { endpoint } of agents) endpoint.lostOrderShare = 0 }
    case 'slow_endpoints': {
      const slow = endpoints(trouble.share)
      for (const endpoint of slow) endpoint.setSlowdown(trouble.x)
      return () => { for (const endpoint of slow) endpoint.setSlowdown(1) }
    }
    case 'hanging_endpoints': {
      const hanging = endpoints(trouble.share)
      for (const endpoint of hanging) endpoint.setSlowdown(Infinity)
      return () => { for (const endpoint of hanging) endpoint.setSlowdown(1) }
    }
    case 'failing_endpoints': {
      const failing = endpoints(trouble.share)
      for (const endpoint of failing) endpoint.isFailing = true
      return () => { for (const endpoint of failing) endpoint.isFailing = false }
    }
    case 'lost_endpoints':
      for (const { index } of sampleShare(random, agents, trouble.share)) world.crashEndpoint(index, forMs)
      return undefined
    case 'leaving_endpoints': {
      const leaving = sampleShare(random, agents, trouble.share)
      for (const { host } of leaving) host.drain()
      return () => { for (const { index } of leaving) world.crashEndpoint(index, 0) }
    }
    case 'frozen_agents':
      for (const { process } of sampleShare(random, agents, trouble.share)) process.freeze(forMs)
      return undefined
    case 'killed_agents':
      for (const { index } of sampleShare(random, agents, trouble.share)) world.killAgent(index, forMs + PROCESS_START_MS.agent)
      return undefined
    case 'killed_entries':
      for (const index of sampleShare(random, [...entries.keys()], trouble.share)) world.killEntry(index, forMs + PROCESS_START_MS.entry)
      return undefined
    case 'silent_links': {
      const silent = sampleShare(random, links.flat(), trouble.share)
      for (const link of silent) link.setSilent(true)
      return () => { for (const link of silent) link.setSilent(false) }
    }
    case 'config_changes': {
      const change = (): void => {
        world.changeConfig(trouble.bytes)
        if (world.clock.now() + trouble.gapMs < until) world.clock.after(trouble.gapMs, change)
      }
      const until = world.clock.now() + forMs
      change()
      return undefined
    }
    default: return assertNever(trouble)
  }
}

/**
 * Sets a scenario's troubles.
 *
 * @param world - where they happen
 * @param startMs - start of the traffic on its clock
 */
export const scheduleTroubles = (world: LabWorld, startMs: number): void => {
  for (const trouble of world.scenario.troubles) {
    world.clock.after(startMs + trouble.at * 1000 - world.clock.now(), () => {
      const undo = applyTrouble(world, trouble)
      if (undo !== undefined) world.clock.after(trouble.for * 1000, undo)
    })
  }
}
