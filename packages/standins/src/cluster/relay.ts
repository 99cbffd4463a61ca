import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** Passes connections on to a target, until it is told to cut them. */
export interface Relay {
  address: string
  setTarget: (address: string) => void
  /** Ends all connections at once; new ones pass. */
  cut: () => void
  /** Ends all connections and refuses new ones, until `heal`. */
  sever: () => void
  /** Ends all connections, and nothing takes new ones, as where a process has ended, until `heal`. */
  refuse: () => void
  /** Holds back everything that arrives, as a network that loses packets does, until `heal`. */
  freeze: () => void
  /** Holds back what the target sends, while what is sent to it passes, until `heal`. */
  holdAnswers: () => void
  /** Passes everything on so much later; 0 is at once. */
  delay: (ms: number) => void
  heal: () => void
  /** Bytes passed on so far, both ways. */
  bytes: () => number
  close: () => void
}

/** What becomes of bytes that pass. */
interface Traffic {
  /** Passed on so far. */
  bytes: number
  delayMs: number
  /** What the target has sent, while it is held back. */
  heldAnswers: Array<() => void> | undefined
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

const resetTraffic = (traffic: Traffic): void => {
  traffic.delayMs = 0
  for (const write of traffic.heldAnswers ?? []) write()
  traffic.heldAnswers = undefined
}

/**
 * Starts a relay on loopback.
 *
 * @param target - host:port, may be set later
 */
export const startRelay = async (target = ''): Promise<Relay> => {
  const sockets = new Set<Socket>()
  let targetAddress = target
  const traffic: Traffic = { bytes: 0, delayMs: 0, heldAnswers: undefined }
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
    client.on('data', forwardTo(upstream, traffic, false))
    upstream.on('data', forwardTo(client, traffic, true))
    client.on('close', () => upstream.destroy())
    upstream.on('close', () => client.destroy())
    if (!isFrozen) return
    client.pause()
    upstream.pause()
  }

  const server = createServer((socket) => {
    if (isSevered) socket.destroy()
    else forward(socket)
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  const cut = (): void => { for (const socket of sockets) socket.destroy() }
  return {
    address: `127.0.0.1:${port}`,
    setTarget: (address) => { targetAddress = address },
    cut,
    sever: () => { isSevered = true; cut() },
    refuse: () => { server.close(); cut() },
    freeze: () => {
      isFrozen = true
      for (const socket of sockets) socket.pause()
    },
    holdAnswers: () => { traffic.heldAnswers ??= [] },
    delay: (ms) => { traffic.delayMs = ms },
    heal: () => {
      if (!server.listening) server.listen(port, '127.0.0.1')
      isSevered = false
      isFrozen = false
      resetTraffic(traffic)
      for (const socket of sockets) socket.resume()
    },
    bytes: () => traffic.bytes,
    close: () => {
      cut()
      server.close()
    }
  }
}
