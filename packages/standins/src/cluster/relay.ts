import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** A TCP proxy on loopback that injects network faults between two processes. */
export interface Relay {
  /** host:port that it listens on. */
  address: string
  /** Sets the host:port to which new connections are forwarded. */
  setTarget: (address: string) => void
  /** Closes all connections; new ones are forwarded. */
  cut: () => void
  /** Resets all connections, so that what is in transit is lost; new ones are forwarded. */
  reset: () => void
  /** Closes all connections, and closes each new one as soon as it is accepted, until `heal`. */
  sever: () => void
  /** Closes all connections and stops listening, so that new ones are refused as if the process had exited, until `heal`. */
  refuse: () => void
  /** Stops forwarding in both directions while connections stay open, like a network that loses all packets, until `heal`. */
  freeze: () => void
  /** Makes the connections that are open now silent for good: they stay open and lose everything, while new ones are forwarded. */
  silence: () => void
  /** Buffers what the target sends, while data to the target is forwarded, until `heal`. */
  holdAnswers: () => void
  /** Delays everything that is forwarded by `ms`; 0 for no delay. */
  delay: (ms: number) => void
  /** Ends every fault and delay, and forwards what was held back. */
  heal: () => void
  /** Bytes forwarded so far, in both directions. */
  bytes: () => number
  /** Number of open connections, of both sides together. */
  connections: () => number
  /** Closes all connections and stops listening for good. */
  close: () => void
}

/** State of forwarding, shared by all connections of a relay. */
interface Traffic {
  /** Forwarded so far, in both directions. */
  bytes: number
  delayMs: number
  /** Writes of what the target sent while its answers are held back; unset while they are not. */
  heldAnswers: Array<() => void> | undefined
  /** Connections that lose everything. */
  silenced: WeakSet<Socket>
}

const forwardTo = (to: Socket, traffic: Traffic, isAnswer: boolean) => (chunk: Buffer): void => {
  const write = (): void => {
    traffic.bytes += chunk.length
    to.write(chunk)
  }
  if (isAnswer && traffic.heldAnswers !== undefined) traffic.heldAnswers.push(write)
  else if (traffic.delayMs > 0) setTimeout(write, traffic.delayMs)
  else write()
}

/** Forwards data and the end of a connection, until it is silenced. */
const pipe = (from: Socket, to: Socket, traffic: Traffic, isAnswer: boolean): void => {
  const forwardData = forwardTo(to, traffic, isAnswer)
  from.on('data', (chunk: Buffer) => { if (!traffic.silenced.has(from)) forwardData(chunk) })
  from.on('close', () => { if (!traffic.silenced.has(from)) to.destroy() })
}

const resetTraffic = (traffic: Traffic): void => {
  traffic.delayMs = 0
  for (const write of traffic.heldAnswers ?? []) write()
  traffic.heldAnswers = undefined
}

/** Where a relay listens; port 0 is any free one. */
interface ListenAddress {
  host: string
  port: number
}

/**
 * Starts a relay on loopback.
 *
 * @param target - host:port to forward to; may be set later by `setTarget`
 * @param listenAddress - a free port of 127.0.0.1 by default
 */
export const startRelay = async (target = '', { host, port: requestedPort }: ListenAddress = { host: '127.0.0.1', port: 0 }): Promise<Relay> => {
  const sockets = new Set<Socket>()
  let targetAddress = target
  const traffic: Traffic = { bytes: 0, delayMs: 0, heldAnswers: undefined, silenced: new WeakSet() }
  let isSevered = false
  let isFrozen = false

  const track = (socket: Socket): void => {
    sockets.add(socket)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => sockets.delete(socket))
    if (isFrozen) socket.pause()
  }

  const forward = (client: Socket): void => {
    const [host, port] = targetAddress.split(':')
    const upstream = connect(Number(port), host)
    track(client)
    track(upstream)
    pipe(client, upstream, traffic, false)
    pipe(upstream, client, traffic, true)
    if (!isFrozen) return
    client.pause()
    upstream.pause()
  }

  const server = createServer((socket) => {
    if (isSevered) socket.destroy()
    else forward(socket)
  })
  server.listen(requestedPort, host)
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  const cut = (): void => { for (const socket of [...sockets]) socket.destroy() }
  return {
    address: `${host}:${port}`,
    setTarget: (address) => { targetAddress = address },
    cut,
    reset: () => { for (const socket of [...sockets]) socket.resetAndDestroy() },
    sever: () => { isSevered = true; cut() },
    refuse: () => { server.close(); cut() },
    freeze: () => {
      isFrozen = true
      for (const socket of sockets) socket.pause()
    },
    silence: () => { for (const socket of sockets) traffic.silenced.add(socket) },
    holdAnswers: () => { traffic.heldAnswers ??= [] },
    delay: (ms) => { traffic.delayMs = ms },
    heal: () => {
      if (!server.listening) server.listen(port, host)
      isSevered = false
      isFrozen = false
      resetTraffic(traffic)
      for (const socket of sockets) socket.resume()
    },
    bytes: () => traffic.bytes,
    connections: () => sockets.size,
    close: () => {
      cut()
      server.close()
    }
  }
}
