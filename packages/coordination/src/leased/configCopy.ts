/**
 * The newest configuration document that a process has received, for processes
 * that cannot read the store themselves.
 *
 * Invariant: the version never decreases.
 */
export class ConfigCopy {
  private current: { version: bigint, document: Uint8Array } = { version: 0n, document: new Uint8Array() }

  /** 0 before the first document. */
  get version (): bigint {
    return this.current.version
  }

  get document (): Uint8Array {
    return this.current.document
  }

  /**
   * Adopts a document if it is newer than the current one.
   *
   * @returns true if it was adopted
   */
  update (version: bigint, document: Uint8Array): boolean {
    if (version <= this.current.version) return false
    this.current = { version, document }
    return true
  }
}
