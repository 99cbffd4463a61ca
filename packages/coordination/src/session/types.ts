import type { AgentFrame, EntryFrame, Hello } from '@hazellift/protocol'

/** Adds to the next frame to one entry. */
export type AddToFrame = (add: (frame: AgentFrame) => void) => void

/** An agent's side of its sessions, as the transport drives it. */
export interface SessionHost {
  /** A session with an entry's incarnation is open; an earlier one with the same incarnation has been closed. */
  openSession: (incarnation: string, add: AddToFrame) => void
  closeSession: (incarnation: string, add: AddToFrame) => void
  /** Handles what an entry sent on an open session. */
  onFrame: (incarnation: string, add: AddToFrame, frame: EntryFrame) => void
  /** Fills in what every frame carries. */
  fillFrame: (incarnation: string, frame: AgentFrame) => void
  /** True while tasks of the entry are here; unset where every session counts as busy. */
  isBusyWith?: (incarnation: string) => boolean
  /** The session will be ended: the entry must send no start on it any more. */
  retireSession?: (incarnation: string, add: AddToFrame) => void
}

/** The open session to an agent, as an entry uses it. */
export interface AgentLink {
  /** Adds to the next frame. */
  add: (add: (frame: EntryFrame) => void) => void
  /** Acknowledges results up to this one with whatever frame goes next; asks for none. */
  acknowledge: (seq: bigint) => void
  close: () => void
}

/** An entry's side of its sessions, as the transport drives it. */
export interface SessionDispatcher<Agent> {
  /** An agent opened a session. An earlier one with it is over. */
  open: (hello: Hello, link: AgentLink) => Agent
  onFrame: (agent: Agent, link: AgentLink, frame: AgentFrame) => void
  closed: (agent: Agent, link: AgentLink) => void
  /** Fills in what every frame carries. */
  fillFrame?: (agent: Agent, frame: EntryFrame) => void
  /** True while orders to the agent are out; unset where every session counts as busy. */
  isBusyWith?: (agent: Agent) => boolean
}
