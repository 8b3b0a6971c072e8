package review;

import java.util.concurrent.ThreadFactory;

/** Threads that don't keep the process alive. */
final class Threads {
    private Threads() {}

    static ThreadFactory daemon(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }
}
