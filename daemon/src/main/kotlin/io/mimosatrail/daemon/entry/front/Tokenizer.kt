package io.mimosatrail.daemon.entry.front

/** Turns text into token ids and back. */
internal interface Tokenizer {
    fun encode(text: String): List<Int>

    /** Text of one token; the texts of an answer's tokens are concatenated. */
    fun decode(token: Int): String
}

/** One token a byte, for models with a byte vocabulary. */
internal object ByteTokenizer : Tokenizer {
    private const val BYTE_MASK = 0xff

    override fun encode(text: String): List<Int> = text.toByteArray().map { it.toInt() and BYTE_MASK }

    override fun decode(token: Int): String = token.toChar().toString()
}
