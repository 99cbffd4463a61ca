import { ClusterStatusSchema } from '@hazellift/protocol'
import type { ClusterStatus } from '@hazellift/protocol'
import type { Command } from 'commander'
import { clientCommand, createClient } from './globalOptions.js'
import type { GlobalOptions } from './globalOptions.js'
import { print, printFault, printJson, printTable } from './output.js'

const printStatus = ({ entries, unreachable }: ClusterStatus): void => {
  printTable(['entry', 'api', 'ready', 'config version', 'jobs'], entries.map(
    ({ entryId, apiAddress, ready, configVersion, jobs }) => [entryId, apiAddress, String(ready), configVersion, jobs]))
  printTable(['entry', 'service', 'queued', 'running'], entries.flatMap(
    ({ entryId, queues }) => queues.map(({ service, queued, running }) => [entryId, service, queued, running])))
  printTable(['entry', 'agent', 'service', 'zone', 'endpoint', 'slots', 'credits', 'running', 'health'], entries.flatMap(
    ({ entryId, endpoints }) => endpoints.map((e) =>
      [entryId, e.agentId, e.service, e.zone, e.address, e.slots, e.credits, e.running, e.health])))
  if (unreachable.length > 0) print(`unreachable: ${unreachable.join(', ')}`)
}

const status = async (options: GlobalOptions): Promise<void> => {
  const res = await createClient(options).call(ClusterStatusSchema, { method: 'GET', path: '/v1/status' })
  if (!res.ok) return printFault(res.err)
  if (options.json) printJson(ClusterStatusSchema, res.value)
  else printStatus(res.value)
}

/** `hazellift status`. */
export const statusCommand = (): Command =>
  clientCommand('status', 'shows entries, endpoints, queues and the configuration in force (administrator)').action(status)
