#!/usr/bin/env node
import { Command } from 'commander'
import { startEndpoint } from './startEndpoint.js'

interface Flags {
  id: string
  host: string
  agentUrl: string
  service: string
  slots: string
  connections: string
  heartbeatMs: string
  recordFile?: string
  advertise?: string
}

const flags = new Command('standin-endpoint')
  .requiredOption('--id <name>', 'name of this endpoint')
  .requiredOption('--agent-url <url>', 'the agent beside it')
  .requiredOption('--service <name>', 'the service it offers')
  .option('--host <address>', 'address to listen on', '127.0.0.1')
  .option('--slots <n>', 'tasks at once', '8')
  .option('--connections <n>', 'connections', '64')
  .option('--heartbeat-ms <ms>', 'interval of announcements', '500')
  .option('--record-file <path>', 'where starts are recorded')
  .option('--advertise <host:port>', 'address to announce, if another')
  .parse().opts<Flags>()

const endpoint = await startEndpoint({
  ...flags, slots: Number(flags.slots), connections: Number(flags.connections), heartbeatMs: Number(flags.heartbeatMs)
})
process.stdout.write(`endpoint=${endpoint.address}\n`)
process.on('SIGTERM', () => {
  void endpoint.stop().then(() => process.exit(0))
})
