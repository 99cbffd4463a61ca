#!/usr/bin/env node
import { Command } from 'commander'
import { startPlatform } from './startPlatform.js'

const { host, port } = new Command('standin-platform')
  .option('--host <address>', 'address to listen on', '127.0.0.1')
  .option('--port <port>', 'port, 0 for a free one', '0')
  .parse().opts<{ host: string, port: string }>()

const { address } = await startPlatform(host, Number(port))
process.stdout.write(`platform=${address}\n`)
process.on('SIGTERM', () => process.exit(0))
