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

/**
 * Starts a relay on loopback.
 *
 * @param target - host:port, may be set later
 */
export const startRelay = async (target = ''): Promise<Relay> => {
  const sockets = new Set<Socket>()
  let to = target
  let bytes = 0
  let severed = false
  let frozen = false
  let delayMs = 0
  let held: Array<() => void> | undefined

  const keep = (socket: Socket): void => {
    sockets.add(socket)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => sockets.delete(socket))
    if (frozen) socket.pause()
  }

  const join = (from: Socket): void => {
    const [host, port] = to.split(':')
    const onward = connect(Number(port), host)
    keep(from)
    keep(onward)
    const pass = (to: Socket, isAnswer: boolean) => (chunk: Buffer): void => {
      const write = (): void => {
        bytes += chunk.length
        to.write(chunk)
      }
      if (isAnswer && held !== undefined) held.push(write)
      else if (delayMs > 0) setTimeout(write, delayMs)
      else write()
    }
    from.on('data', pass(onward, false))
    onward.on('data', pass(from, true))
    from.on('close', () => onward.destroy())
    onward.on('close', () => from.destroy())
    if (!frozen) return
    from.pause()
    onward.pause()
  }

  const server = createServer((socket) => {
    if (severed) socket.destroy()
    else join(socket)
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const cut = (): void => { for (const socket of sockets) socket.destroy() }
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    setTarget: (address) => { to = address },
    cut,
    sever: () => {
      severed = true
      cut()
    },
    freeze: () => {
      frozen = true
      for (const socket of sockets) socket.pause()
    },
    holdAnswers: () => { held ??= [] },
    delay: (ms) => { delayMs = ms },
    heal: () => {
      severed = false
      frozen = false
      delayMs = 0
      for (const write of held?.splice(0) ?? []) write()
      held = undefined
      for (const socket of sockets) socket.resume()
    },
    bytes: () => bytes,
    close: () => {
      cut()
      server.close()
    }
  }
}
