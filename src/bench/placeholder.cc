namespace calicodrift {}
